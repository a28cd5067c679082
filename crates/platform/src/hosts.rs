//! Client of the platform's list of live and leaving hosts. The list lags behind the actual state.

use crate::fault::PlatformFault;
use crate::fault::agent;
use crate::fault::unanswered;
use serde::Deserialize;
use serde::Serialize;

/// A host or service instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name in the inventory.
    pub name: String,
    /// Address at which it is reached, as `address:port`.
    pub address: String,
    /// Whether it is about to leave the fleet.
    pub leaving: bool,
}

/// Body of the answer to a request for the list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostReply {
    /// Hosts and service instances.
    pub hosts: Vec<Listed>,
}

/// Client of the list of hosts.
#[derive(Debug, Clone)]
pub struct HostListClient {
    url: Box<str>,
    agent: ureq::Agent,
}

impl HostListClient {
    /// Creates a client of the list at `url`, whose calls end within `timeout_ms` milliseconds.
    pub fn new(url: &str, timeout_ms: u64) -> Self {
        Self {
            url: url.trim_end_matches('/').into(),
            agent: agent(timeout_ms),
        }
    }

    /// Returns the current list.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformFault::Unanswered`] if no complete answer arrived or the answer is not a
    /// list of hosts.
    pub fn list(&self) -> Result<Vec<Listed>, PlatformFault> {
        const STEP: &str = "getting the list of hosts";
        let url = format!("{}/v1/hosts", self.url);
        let mut response = self
            .agent
            .get(&url)
            .call()
            .map_err(|error| unanswered(STEP, &self.url, error))?;
        let reply: HostReply = response
            .body_mut()
            .read_json()
            .map_err(|error| unanswered(STEP, &self.url, error))?;
        Ok(reply.hosts)
    }
}
