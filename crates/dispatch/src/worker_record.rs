//! Records of workers, from which the next owner learns of them if it can't read the platform's
//! list.

use crate::config::Resources;
use crate::config::WorkerEntry;
use crate::record::OwnerTime;
use prost::Message;
use std::collections::BTreeMap;

/// A worker as the owner last read it in the platform's list.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct WorkerRecord {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    #[prost(string, tag = "3")]
    pub(crate) failure_domain: String,
    #[prost(bool, tag = "4")]
    pub(crate) is_leaving: bool,
    #[prost(uint64, tag = "5")]
    pub(crate) cpu_milli: u64,
    #[prost(uint64, tag = "6")]
    pub(crate) memory_mb: u64,
    #[prost(uint64, tag = "7")]
    pub(crate) accelerators: u64,
    #[prost(string, tag = "8")]
    pub(crate) rack: String,
    #[prost(string, repeated, tag = "9")]
    pub(crate) labels: Vec<String>,
    /// When it started, in milliseconds since 1970 by its clock.
    #[prost(uint64, optional, tag = "10")]
    pub(crate) started_wall_ms: Option<u64>,
    /// Its newest restart under its id, as far as owners know; `None` if there was none, or a former
    /// release has written the record.
    #[prost(message, optional, tag = "11")]
    pub(crate) restart: Option<RestartRecord>,
}

/// A restart of a worker under its id.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct RestartRecord {
    /// When the worker started, in milliseconds since 1970 by its clock.
    #[prost(uint64, optional, tag = "1")]
    pub(crate) started_wall_ms: Option<u64>,
    /// Time by which no call that used the previous clock of the worker was under way any more.
    #[prost(message, optional, tag = "2")]
    pub(crate) settled: Option<OwnerTime>,
}

impl WorkerRecord {
    pub(crate) fn new(entry: &WorkerEntry, restart: Option<RestartRecord>) -> Self {
        Self {
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            failure_domain: entry.failure_domain.to_string(),
            is_leaving: entry.is_leaving,
            cpu_milli: entry.resources.cpu_milli,
            memory_mb: entry.resources.memory_mb,
            accelerators: entry.resources.accelerators,
            rack: entry.rack.to_string(),
            labels: entry.labels.iter().map(|label| label.to_string()).collect(),
            started_wall_ms: entry.incarnation.started_wall_ms(),
            restart,
        }
    }

    pub(crate) fn entry(&self, id: &str) -> WorkerEntry {
        WorkerEntry {
            id: id.into(),
            incarnation: self.started_wall_ms.into(),
            service: self.service.as_str().into(),
            address: self.address.as_str().into(),
            failure_domain: self.failure_domain.as_str().into(),
            is_leaving: self.is_leaving,
            cold_ms: 0,
            resources: Resources {
                cpu_milli: self.cpu_milli,
                memory_mb: self.memory_mb,
                accelerators: self.accelerators,
            },
            rack: self.rack.as_str().into(),
            labels: self
                .labels
                .iter()
                .map(|label| label.as_str().into())
                .collect(),
        }
    }
}

/// Sets the restart of a worker, or removes it if there is none.
pub(crate) fn set_or_remove(
    restarts: &mut BTreeMap<Box<str>, RestartRecord>,
    worker: &str,
    restart: Option<RestartRecord>,
) {
    match restart {
        Some(restart) => restarts.insert(worker.into(), restart),
        None => restarts.remove(worker),
    };
}
