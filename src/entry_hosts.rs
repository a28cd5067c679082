//! HTTP client of the entry hosts. Any entry host serves any command, so requests go to
//! the first one that answers.

use crate::fault::Fault;
use crate::files;
use goldcrestway_daemon::load_settings;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Operator addresses of the entry hosts, from the options that most commands share.
#[derive(Debug, Clone, Default)]
pub(crate) struct EntryHosts {
    addresses: Vec<String>,
}

/// Address of an entry host if no option gives one.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";

/// Response of an entry host.
pub(crate) struct HostResponse {
    /// Address of the entry host.
    pub(crate) address: String,
    /// HTTP status code.
    pub(crate) status: u16,
    pub(crate) body: String,
}

impl HostResponse {
    /// Returns title and detail if the body has problem details, else the body.
    pub(crate) fn detail(&self) -> Box<str> {
        let value: Option<serde_json::Value> = serde_json::from_str(&self.body).ok();
        let part = |key: &str| {
            let value = value.as_ref()?.get(key)?.as_str()?;
            Some(value.to_owned())
        };
        match (part("title"), part("detail")) {
            (Some(title), Some(detail)) => format!("{title}. {detail}").into(),
            _ => self.body.trim().into(),
        }
    }
}

impl EntryHosts {
    /// Collects the addresses of the options `--entry` and `--settings`.
    ///
    /// # Errors
    ///
    /// The settings file can't be read or has faults.
    pub(crate) fn new(given: &[String], settings: &Option<String>) -> Result<Self, Fault> {
        let mut addresses = given.to_vec();
        if let Some(file) = settings {
            let settings = load_settings(file, &files::read(file)?)?;
            addresses.extend(
                settings
                    .seats
                    .iter()
                    .map(|seat| seat.operator_address.to_string()),
            );
        }
        if addresses.is_empty() {
            addresses.push(DEFAULT_ADDRESS.into());
        }
        Ok(Self { addresses })
    }

    fn agent() -> ureq::Agent {
        const TIMEOUT: Duration = Duration::from_secs(20);
        ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build()
            .new_agent()
    }

    /// Returns the response of the first entry host that answers.
    ///
    /// # Errors
    ///
    /// No entry host answers.
    pub(crate) fn get(&self, step: &'static str, path: &str) -> Result<HostResponse, Fault> {
        let agent = Self::agent();
        for address in &self.addresses {
            let sent = agent.get(format!("http://{address}{path}")).call();
            if let Some(response) = read_response(address, sent) {
                return Ok(response);
            }
        }
        Err(self.unreachable(step))
    }

    /// Returns the responses of all entry hosts, each with its address. Hosts that do not
    /// answer are reported to standard error and left out.
    ///
    /// # Errors
    ///
    /// No entry host answers, or a response can't be read.
    pub(crate) fn get_all<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
    ) -> Result<Vec<(String, T)>, Fault> {
        let agent = Self::agent();
        let mut all = Vec::new();
        for address in &self.addresses {
            let sent = agent.get(format!("http://{address}{path}")).call();
            let Some(response) = read_response(address, sent) else {
                eprintln!("no answer from {address}; its data is missing below");
                continue;
            };
            match serde_json::from_str(&response.body) {
                Ok(value) => all.push((address.clone(), value)),
                Err(_) => {
                    return Err(Fault::Refused(
                        step,
                        address.as_str().into(),
                        response.detail(),
                    ));
                }
            }
        }
        match all.is_empty() {
            true => Err(self.unreachable(step)),
            false => Ok(all),
        }
    }

    /// Sends `body` to the first entry host that answers, and to the next ones while the
    /// outcome is unknown. Sending it again is safe, as the body has an identity.
    ///
    /// # Errors
    ///
    /// No entry host answers, or none knows the outcome.
    pub(crate) fn post<T: serde::Serialize>(
        &self,
        step: &'static str,
        path: &str,
        body: &T,
    ) -> Result<HostResponse, Fault> {
        const UNKNOWN: u16 = 504;
        let agent = Self::agent();
        let mut unknown = None;
        for address in self
            .addresses
            .iter()
            .cycle()
            .take(self.addresses.len().max(2))
        {
            let sent = agent
                .post(format!("http://{address}{path}"))
                .send_json(body);
            match read_response(address, sent) {
                Some(response) if response.status == UNKNOWN => unknown = Some(response),
                Some(response) => return Ok(response),
                None => {}
            }
        }
        match unknown {
            Some(last) => Err(Fault::Unknown(
                step,
                last.address.as_str().into(),
                last.detail(),
            )),
            None => Err(self.unreachable(step)),
        }
    }

    fn unreachable(&self, step: &'static str) -> Fault {
        Fault::Unreachable(step, self.addresses.join(", ").into())
    }
}

fn read_response(
    address: &str,
    sent: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Option<HostResponse> {
    const MAX_BODY_BYTES: u64 = 256 * 1024 * 1024;
    let mut response = sent.ok()?;
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAX_BODY_BYTES)
        .read_to_string()
        .ok()?;
    Some(HostResponse {
        address: address.into(),
        status,
        body,
    })
}
