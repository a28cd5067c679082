//! The platform's list of live and leaving hosts; it lags behind.

use crate::fault::PlatformFault;
use crate::fault::agent;
use crate::fault::unanswered;
use serde::Deserialize;
use serde::Serialize;

/// One host or instance in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its name in the inventory.
    pub name: String,
    /// Where it is reached, as `address:port`.
    pub address: String,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// The list as it is answered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostListReply {
    /// The hosts and instances.
    pub hosts: Vec<ListedHost>,
}

/// Client of the list.
#[derive(Debug, Clone)]
pub struct HostListClient {
    url: Box<str>,
    agent: ureq::Agent,
}

impl HostListClient {
    /// Makes a client of the list at `url`.
    pub fn new(url: &str, timeout_ms: u64) -> Self {
        Self {
            url: url.trim_end_matches('/').into(),
            agent: agent(timeout_ms),
        }
    }

    /// Gets the list.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub fn list(&self) -> Result<Vec<ListedHost>, PlatformFault> {
        const STEP: &str = "getting the list of hosts";
        let url = format!("{}/v1/hosts", self.url);
        let mut response = self
            .agent
            .get(&url)
            .call()
            .map_err(|error| unanswered(STEP, &self.url, error))?;
        let reply: HostListReply = response
            .body_mut()
            .read_json()
            .map_err(|error| unanswered(STEP, &self.url, error))?;
        Ok(reply.hosts)
    }
}
