/**
 * Validates a configuration document, either completely or only the parts that a patch touched. If
 * the document was valid before the patch, both give the same result, but the cost of the second
 * depends on the size of the patch and not on the size of the fleet.
 */
import { idSchema } from '@acaciadock/core';
import { type z } from 'zod';
import {
  type ConfigDocument,
  configDocumentSchema,
  type DocumentFault,
  instanceSchema,
  policySchema,
  poolSchema,
  referenceFaults,
  serviceSchema,
  teamSchema,
  zoneSchema,
} from './ConfigDocument.js';

export type DocumentCheckResult =
  | { readonly ok: true; readonly document: ConfigDocument }
  | { readonly ok: false; readonly faults: readonly DocumentFault[] };

/** The sections of the document that map ids to entities. */
const ENTITY_SCHEMAS = {
  zones: zoneSchema,
  pools: poolSchema,
  instances: instanceSchema,
  services: serviceSchema,
  teams: teamSchema,
} as const;

export type EntitySection = keyof typeof ENTITY_SCHEMAS;

export function isEntitySection(name: string | undefined): name is EntitySection {
  return name !== undefined && Object.hasOwn(ENTITY_SCHEMAS, name);
}

/** The parts of a document that a patch touched. */
export class TouchedParts {
  /**
   * A part that can't be checked on its own was touched, so the complete document must be checked.
   */
  everything = false;

  policy = false;

  readonly entities: Record<EntitySection, Set<string>> = {
    zones: new Set(),
    pools: new Set(),
    instances: new Set(),
    services: new Set(),
    teams: new Set(),
  };

  /** Records a change at a JSON pointer, given as its decoded tokens. */
  add(tokens: readonly string[]): void {
    const [section, id] = tokens;
    if (section === 'policy') this.policy = true;
    else if (isEntitySection(section) && id !== undefined) this.entities[section].add(id);
    else this.everything = true;
  }
}

function pointerOf(path: readonly PropertyKey[]): string {
  return path
    .map((part) => `/${String(part).replaceAll('~', '~0').replaceAll('/', '~1')}`)
    .join('');
}

function faultsOf(error: z.ZodError, prefix: readonly PropertyKey[] = []): DocumentFault[] {
  return error.issues.map((issue) => ({
    pointer: pointerOf([...prefix, ...issue.path]),
    detail: issue.message,
  }));
}

/** Checks a complete document; the faults list every invalid value. */
export function checkDocument(candidate: unknown): DocumentCheckResult {
  const parsed = configDocumentSchema.safeParse(candidate);
  if (parsed.success) return { ok: true, document: parsed.data };
  return { ok: false, faults: faultsOf(parsed.error) };
}

/** Checks the touched entities of one section and fills in their defaults. */
function checkEntities(
  candidate: ConfigDocument,
  section: EntitySection,
  ids: ReadonlySet<string>,
): DocumentFault[] {
  const entities = candidate[section] as Record<string, unknown>;
  return [...ids]
    .filter((id) => Object.hasOwn(entities, id))
    .flatMap((id) => {
      if (!idSchema.safeParse(id).success) {
        return [{ pointer: pointerOf([section, id]), detail: 'is not a valid id' }];
      }
      const parsed = ENTITY_SCHEMAS[section].safeParse(entities[id]);
      if (!parsed.success) return faultsOf(parsed.error, [section, id]);
      entities[id] = parsed.data;
      return [];
    });
}

function checkPolicy(candidate: ConfigDocument): DocumentFault[] {
  const parsed = policySchema.safeParse(candidate.policy);
  if (!parsed.success) return faultsOf(parsed.error, ['policy']);
  Object.assign(candidate, { policy: parsed.data });
  return [];
}

function wasRemoved(candidate: ConfigDocument, touched: TouchedParts, section: EntitySection) {
  return [...touched.entities[section]].some((id) => !Object.hasOwn(candidate[section], id));
}

/** Dangling references in the touched entities, and in all that may refer to removed entities. */
function touchedReferenceFaults(candidate: ConfigDocument, touched: TouchedParts): DocumentFault[] {
  const poolRemoved = wasRemoved(candidate, touched, 'pools');
  const allInstances = poolRemoved || wasRemoved(candidate, touched, 'zones');
  const allServices = poolRemoved || wasRemoved(candidate, touched, 'teams');
  const instanceIds = allInstances
    ? Object.keys(candidate.instances)
    : [...touched.entities.instances].filter((id) => Object.hasOwn(candidate.instances, id));
  const serviceIds = allServices
    ? Object.keys(candidate.services)
    : [...touched.entities.services].filter((id) => Object.hasOwn(candidate.services, id));
  return referenceFaults(candidate, instanceIds, serviceIds).map(({ path, detail }) => ({
    pointer: pointerOf(path),
    detail,
  }));
}

/**
 * Checks only the parts that a patch touched. `candidate` shares all untouched parts with the valid
 * document that it was made from. The touched parts must be copies owned by the caller, because the
 * defaults are written into them in place.
 */
export function checkTouched(
  candidate: ConfigDocument,
  touched: TouchedParts,
): DocumentCheckResult {
  if (touched.everything) return checkDocument(candidate);
  const sections = Object.keys(ENTITY_SCHEMAS) as EntitySection[];
  const faults = sections.flatMap((section) =>
    checkEntities(candidate, section, touched.entities[section]),
  );
  if (touched.policy) faults.push(...checkPolicy(candidate));
  if (faults.length === 0) faults.push(...touchedReferenceFaults(candidate, touched));
  if (faults.length > 0) return { ok: false, faults };
  return { ok: true, document: candidate };
}
