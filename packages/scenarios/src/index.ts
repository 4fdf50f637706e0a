/** Scenarios and promise tests run from here; there is no interface to import. */
export {};
