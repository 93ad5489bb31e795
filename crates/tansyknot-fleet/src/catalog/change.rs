//! The difference between versions of the configuration, which is much smaller than a version.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::{Catalog, Route};

/// What turns any of several versions of the configuration into a later one. The versions differ in
/// their routes only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogChange {
    /// The later version.
    pub version: u64,
    /// The versions that it can be applied to.
    pub bases: Vec<u64>,
    /// The names of routes that the later version lacks.
    pub removed: Vec<Arc<str>>,
    /// The routes that the later version adds or changes.
    pub routes: Vec<Route>,
    /// The digest of the routes of the later version.
    pub digest: u64,
}

impl CatalogChange {
    /// Returns the change from each of `bases` to `to`. Returns `None` if there is none that
    /// describes it: requests need keys, services differ, or two routes share a name.
    pub fn between(bases: &[Arc<Catalog>], to: &Catalog) -> Option<Self> {
        let is_base = |base: &Arc<Catalog>| base.teams.is_none() && base.services == to.services;
        if to.teams.is_some() || bases.is_empty() || !bases.iter().all(is_base) {
            return None;
        }
        let newest = routes_by_name(to)?;
        let mut removed: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut changed: BTreeMap<&Arc<str>, &Arc<Route>> = BTreeMap::new();
        for base in bases {
            let old = routes_by_name(base)?;
            let is_gone = |name: &&&Arc<str>| !newest.contains_key(**name);
            removed.extend(old.keys().filter(is_gone).map(|name| Arc::clone(name)));
            changed.extend(newest.iter().filter(|(name, r)| old.get(*name) != Some(*r)));
        }
        Some(Self {
            version: to.version,
            bases: bases.iter().map(|base| base.version).collect(),
            removed: removed.into_iter().collect(),
            routes: changed.into_values().map(|route| Route::clone(route)).collect(),
            digest: digest(to),
        })
    }

    /// Returns the later version, made of `base`; `None` if this change does not apply to it.
    pub fn apply(&self, base: &Catalog) -> Option<Catalog> {
        if !self.bases.contains(&base.version) || base.teams.is_some() {
            return None;
        }
        let replaced: BTreeSet<&Arc<str>> =
            self.removed.iter().chain(self.routes.iter().map(|route| &route.name)).collect();
        let kept = base.routes.values().flatten().filter(|route| !replaced.contains(&route.name));
        let routes = kept.map(|route| Route::clone(route)).chain(self.routes.iter().cloned());
        let services = base.services.values().cloned().collect();
        let result = Catalog::new(self.version, routes.collect(), services);
        (digest(&result) == self.digest).then_some(result)
    }
}

/// Returns the routes by name; `None` if two share a name.
fn routes_by_name(catalog: &Catalog) -> Option<BTreeMap<&Arc<str>, &Arc<Route>>> {
    let routes = catalog.routes.values().flatten();
    let by_name: BTreeMap<_, _> = routes.map(|route| (&route.name, route)).collect();
    (by_name.len() == catalog.routes.values().map(Vec::len).sum::<usize>()).then_some(by_name)
}

/// Returns a digest of the routes, which does not depend on their order.
fn digest(catalog: &Catalog) -> u64 {
    let hash = |route: &Arc<Route>| {
        let bytes = postcard::to_allocvec(route.as_ref());
        xxh3::xxh3_64(&bytes.expect("a route always serializes"))
    };
    catalog.routes.values().flatten().map(hash).fold(0, u64::wrapping_add)
}
