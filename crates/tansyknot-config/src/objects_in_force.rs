//! The configuration that is in force at a daemon: versioned objects and lookups.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tansyknot_core::{
    key::KeyDigest,
    name::{AdapterName, RuleName, ServiceName},
};
use xxhash_rust::xxh3;

use crate::object::{Adapter, Caller, Object, ObjectKey, Rule, Service};

/// The version of the configuration. It only increases.
pub type ConfigVersion = u64;

/// An object and the version that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The version that last changed the object.
    pub version: ConfigVersion,
    /// The object.
    pub object: Object,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectChange {
    /// Adds or replaces an object.
    Put(Object),
    /// Removes an object.
    Delete(ObjectKey),
}

impl ObjectChange {
    /// Returns the kind and name of the object that changes.
    pub fn key(&self) -> ObjectKey {
        match self {
            ObjectChange::Put(object) => object.key(),
            ObjectChange::Delete(key) => key.clone(),
        }
    }
}

/// The result of resolving the name in a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedService<'a> {
    /// The service.
    pub service: &'a Service,
    /// The rule in force for the service, if any matches.
    pub rule: Option<&'a Rule>,
    /// The adapter, if the name is the name of an adapter.
    pub adapter: Option<AdapterName>,
}

/// The objects in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigObjects {
    version: ConfigVersion,
    digest: u64,
    services: BTreeMap<ServiceName, (ConfigVersion, Service)>,
    adapters: BTreeMap<AdapterName, (ConfigVersion, ServiceName)>,
    rules: BTreeMap<RuleName, (ConfigVersion, Rule)>,
    callers: BTreeMap<String, (ConfigVersion, Caller)>,
}

/// Returns the hash of an object's key and version. The configuration's digest combines the hashes
/// of all objects.
pub fn object_digest(key: &str, version: ConfigVersion) -> u64 {
    xxh3::xxh3_64_with_seed(key.as_bytes(), version)
}

/// Returns the hash that identifies the caller with `key`.
pub fn key_hash(key: &str) -> String {
    KeyDigest::of(key).hex()
}

impl ConfigObjects {
    /// Returns the version in force, or zero if there is none yet.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the digest of all objects and their versions.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Raises the version in force. A lower version is ignored.
    pub fn raise_version(&mut self, version: ConfigVersion) {
        self.version = self.version.max(version);
    }

    /// Applies a change made in `version`, unless the object has a change of the same or a later
    /// version.
    pub fn apply(&mut self, op: &ObjectChange, version: ConfigVersion) {
        let key = op.key();
        let current = self.object_version(&key);
        if current.is_some_and(|c| c >= version) {
            return;
        }
        if let Some(current) = current {
            self.digest ^= object_digest(&key, current);
        }
        match op {
            ObjectChange::Put(object) => {
                self.digest ^= object_digest(&key, version);
                self.insert(object.clone(), version);
            }
            ObjectChange::Delete(key) => self.remove(key),
        }
    }

    /// Returns the version that last changed an object, or `None` if the object does not exist.
    pub fn object_version(&self, key: &str) -> Option<ConfigVersion> {
        let (kind, name) = key.split_once('/')?;
        match kind {
            "service" => self.services.get(&ServiceName::from(name)).map(|s| s.0),
            "adapter" => self.adapters.get(&AdapterName::from(name)).map(|a| a.0),
            "rule" => self.rules.get(&RuleName::from(name)).map(|r| r.0),
            "caller" => self.callers.values().find(|c| c.1.name.as_str() == name).map(|c| c.0),
            _ => None,
        }
    }

    /// Resolves the name of a service or an adapter in a caller's request.
    pub fn resolve(&self, name: &str) -> Option<ResolvedService<'_>> {
        if let Some((_, service)) = self.services.get(&ServiceName::from(name)) {
            return Some(ResolvedService { service, rule: self.rule_for(service), adapter: None });
        }
        let adapter = AdapterName::from(name);
        let (_, base) = self.adapters.get(&adapter)?;
        let (_, service) = self.services.get(base)?;
        Some(ResolvedService { service, rule: self.rule_for(service), adapter: Some(adapter) })
    }

    /// Returns the rule in force for `service`: of the matching rules, the one with the highest
    /// rank, then the first name.
    pub fn rule_for(&self, service: &Service) -> Option<&Rule> {
        let rules = self.rules.values().map(|(_, rule)| rule);
        let matching = rules.filter(|rule| rule.services.matches(&service.labels));
        matching.min_by(|a, b| b.rank.cmp(&a.rank).then_with(|| a.name.cmp(&b.name)))
    }

    /// Returns the caller whose key has the hash `key_sha256`.
    pub fn caller(&self, key_sha256: &str) -> Option<&Caller> {
        self.callers.get(key_sha256).map(|(_, caller)| caller)
    }

    /// Returns all services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values().map(|(_, service)| service)
    }

    /// Returns all adapters with their services, in the order of adapter names.
    pub fn adapters(&self) -> impl Iterator<Item = (&AdapterName, &ServiceName)> {
        self.adapters.iter().map(|(name, (_, service))| (name, service))
    }

    /// Returns all objects with their versions, in the order of kinds and names.
    pub fn objects(&self) -> Vec<StoredObject> {
        let stored = |version: &ConfigVersion, object| StoredObject { version: *version, object };
        let services = self.services.values().map(|(v, s)| stored(v, Object::Service(s.clone())));
        let adapters = self.adapters.iter().map(|(name, (v, service))| {
            let adapter = Adapter { name: name.clone(), service: service.clone() };
            stored(v, Object::Adapter(adapter))
        });
        let rules = self.rules.values().map(|(v, r)| stored(v, Object::Rule(r.clone())));
        let callers = self.callers.values().map(|(v, c)| stored(v, Object::Caller(c.clone())));
        services.chain(adapters).chain(rules).chain(callers).collect()
    }

    fn insert(&mut self, object: Object, version: ConfigVersion) {
        match object {
            Object::Service(s) => {
                self.services.insert(s.name.clone(), (version, s));
            }
            Object::Adapter(a) => {
                self.adapters.insert(a.name, (version, a.service));
            }
            Object::Rule(r) => {
                self.rules.insert(r.name.clone(), (version, r));
            }
            Object::Caller(c) => {
                // Removes the entry under the old key, which must be rejected from now on.
                self.callers.retain(|_, (_, old)| old.name != c.name);
                self.callers.insert(c.key_sha256.to_ascii_lowercase(), (version, c));
            }
        }
    }

    fn remove(&mut self, key: &str) {
        let Some((kind, name)) = key.split_once('/') else { return };
        match kind {
            "service" => drop(self.services.remove(&ServiceName::from(name))),
            "adapter" => drop(self.adapters.remove(&AdapterName::from(name))),
            "rule" => drop(self.rules.remove(&RuleName::from(name))),
            "caller" => self.callers.retain(|_, (_, caller)| caller.name.as_str() != name),
            _ => {}
        }
    }
}
