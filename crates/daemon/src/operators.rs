//! Serves operators: status, explanations, publishing, jobs and events.

use crate::answers::Reply;
use crate::answers::problem;
use crate::answers::reply;
use crate::answers::reply_for;
use crate::callers::Step;
use crate::callers::Waiters;
use crate::event_log::EventLog;
use crate::metrics::Metrics;
use goldcrestway_core::Answer;
use goldcrestway_core::ConfigChange;
use goldcrestway_core::Event;
use goldcrestway_core::JobSpec;
use goldcrestway_core::Node;
use goldcrestway_inventory::Change;
use goldcrestway_inventory::render;
use serde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Server;

/// A query on the node, run by the thread that owns the node.
pub(crate) type NodeQuery = Box<dyn FnOnce(&mut Node) + Send>;

/// Longest time that an operator's request waits for the node's decision.
const DECISION_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time that a query on the node may take.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of threads that serve operators.
const THREADS: usize = 8;
/// Largest request body of an operator; further bytes are not read.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// One changed section of a [`PublishRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SectionChange {
    /// Kind of the section.
    pub kind: String,
    /// Name of the section.
    pub name: String,
    /// Its values, or `None` if the section is removed.
    pub values: Option<BTreeMap<String, String>>,
}

/// Body of a request to publish changes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublishRequest {
    /// Version that the change was made from.
    pub base: u64,
    /// Identity of the change; a repeated request with the same one is applied once.
    pub id: String,
    /// Name of the person who publishes.
    pub author: String,
    /// The changed sections.
    pub changes: Vec<SectionChange>,
}

/// Body of the reply when a change is accepted.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PublishReply {
    /// Version that is now in force.
    pub version: u64,
}

/// Body of a request to submit a job.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRequest {
    /// Name of the job in the inventory.
    pub job: String,
    /// Identity of this submission within its team.
    pub id: String,
}

/// Status of an entry host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusReply {
    /// Its seat and incarnation.
    pub member: String,
    /// Whether its lease is in force, so that it may act for its cells.
    pub acts: bool,
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Members that it considers alive.
    pub alive: Vec<String>,
    /// Cells that it owns, each with a description of its state.
    pub cells: Vec<(String, String)>,
    /// Number of requests in flight.
    pub requests: usize,
}

/// Converts changes of an inventory to the form of a [`PublishRequest`].
pub fn changes_to_wire(changes: &[Change]) -> Vec<SectionChange> {
    let text = |text: &str| text.to_owned();
    changes
        .iter()
        .map(|change| SectionChange {
            kind: text(&change.kind),
            name: text(&change.name),
            values: change.values.as_ref().map(|values| {
                values
                    .iter()
                    .map(|(key, value)| (text(key), text(value)))
                    .collect()
            }),
        })
        .collect()
}

/// Converts the sections of a [`PublishRequest`] to changes of an inventory.
pub fn changes_from_wire(changes: &[SectionChange]) -> Vec<Change> {
    changes
        .iter()
        .map(|change| Change {
            kind: change.kind.as_str().into(),
            name: change.name.as_str().into(),
            values: change.values.as_ref().map(|values| {
                let pairs = values.iter();
                pairs
                    .map(|(key, value)| (key.as_str().into(), value.as_str().into()))
                    .collect()
            }),
        })
        .collect()
}

/// State that the threads which serve operators share.
pub(crate) struct OperatorServer {
    pub(crate) waiters: Arc<Waiters>,
    pub(crate) events: Sender<Event>,
    pub(crate) queries: Sender<NodeQuery>,
    pub(crate) event_log: Arc<EventLog>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) is_ready: Arc<AtomicBool>,
    pub(crate) is_stopped: Arc<AtomicBool>,
}

impl OperatorServer {
    /// Serves operators until the daemon has stopped.
    pub(crate) fn serve(self: Arc<Self>, server: Server) {
        const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
        let server = Arc::new(server);
        for _ in 0..THREADS {
            let (operator_server, server) = (self.clone(), server.clone());
            thread::spawn(move || {
                while !operator_server.is_stopped.load(Ordering::Relaxed) {
                    if let Ok(Some(mut request)) = server.recv_timeout(IDLE_POLL_INTERVAL) {
                        let reply = operator_server.reply(&mut request);
                        // Responding fails if the operator has disconnected.
                        let _ = request.respond(reply);
                    }
                }
            });
        }
    }

    fn reply(&self, request: &mut Request) -> Reply {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default().to_owned();
        let is_post = request.method() == &Method::Post;
        match path.as_str() {
            "/healthz" => reply(200, "text/plain", "ok\n"),
            "/readyz" if self.is_ready.load(Ordering::Relaxed) => {
                reply(200, "text/plain", "ready\n")
            }
            "/readyz" => reply(503, "text/plain", "not ready\n"),
            "/metrics" => reply(200, "text/plain; version=0.0.4", self.metrics.render()),
            "/v1/timeline" => json(&self.event_log.list()),
            "/v1/status" => self.query(status_of),
            "/v1/config" if is_post => self.publish(request),
            "/v1/config" => self.query(config_of),
            "/v1/jobs" if is_post => self.submit(request),
            "/v1/stop" if is_post => {
                let _ = self.events.send(Event::Stop);
                reply(202, "text/plain", "stopping\n")
            }
            _ => match path.strip_prefix("/v1/explain/") {
                Some(name) => {
                    let name = name.to_owned();
                    self.query(move |node| serde_json::json!(node.explain(&name)).to_string())
                }
                None => problem(404, "no-such-path", "No such path", path.clone()),
            },
        }
    }

    /// Runs `query` on the thread that owns the node; replies with its result.
    fn query(&self, query: impl FnOnce(&mut Node) -> String + Send + 'static) -> Reply {
        let (sender, receiver) = channel();
        let query: NodeQuery = Box::new(move |node| {
            let _ = sender.send(query(node));
        });
        if self.queries.send(query).is_err() {
            return problem(
                503,
                "ending",
                "The daemon is ending",
                "Ask another entry host.",
            );
        }
        match receiver.recv_timeout(QUERY_TIMEOUT) {
            Ok(text) => reply(200, "application/json", text),
            Err(_) => problem(503, "busy", "The daemon is busy", "Ask again."),
        }
    }

    fn publish(&self, request: &mut Request) -> Reply {
        let Some(publish) = body_of::<PublishRequest>(request) else {
            return problem(
                400,
                "unreadable",
                "The change can't be read",
                "Use `goldcrestway publish`.",
            );
        };
        let change = ConfigChange {
            base: publish.base,
            id: publish.id.into(),
            author: publish.author.into(),
            changes: changes_from_wire(&publish.changes).into(),
        };
        self.request_decision(|request| Event::Publish { request, change })
    }

    fn submit(&self, request: &mut Request) -> Reply {
        let Some(job) = body_of::<JobRequest>(request) else {
            let detail = "Send {\"job\": NAME, \"id\": IDENTITY}.";
            return problem(400, "unreadable", "The job can't be read", detail);
        };
        let (sender, receiver) = channel();
        let name = job.job.clone();
        let query: NodeQuery = Box::new(move |node| {
            let job = node.config().inventory().jobs.get(name.as_str());
            let _ = sender.send(job.map(|job| job.team.clone()));
        });
        let _ = self.queries.send(query);
        let Ok(Some(team)) = receiver.recv_timeout(QUERY_TIMEOUT) else {
            return reply_for(&Answer::NotListed).1;
        };
        let spec = JobSpec {
            id: format!("{team}/{}", job.id).into(),
            job: job.job.into(),
            team,
        };
        self.request_decision(|request| Event::Submit { request, spec })
    }

    /// Sends an event to the node and waits for the answer to it.
    fn request_decision(&self, event: impl FnOnce(u64) -> Event) -> Reply {
        let waiter = self.waiters.register();
        let _ = self.events.send(event(waiter.number));
        match waiter.steps.recv_timeout(DECISION_TIMEOUT) {
            Ok(Step::Answer(answer)) => reply_for(&answer).1,
            _ => {
                let reason = "no verdict in time; ask again with the same identity";
                reply_for(&Answer::Unknown {
                    reason,
                    retry_after_ms: 0,
                })
                .1
            }
        }
    }
}

fn body_of<T: for<'a> Deserialize<'a>>(request: &mut Request) -> Option<T> {
    let mut body = Vec::new();
    request
        .as_reader()
        .take(MAX_BODY_BYTES)
        .read_to_end(&mut body)
        .ok()?;
    serde_json::from_slice(&body).ok()
}

fn json<T: Serialize>(value: &T) -> Reply {
    reply(
        200,
        "application/json",
        serde_json::to_vec(value).unwrap_or_default(),
    )
}

fn status_of(node: &mut Node) -> String {
    let status = node.status();
    let text = |text: &str| text.to_owned();
    let reply = StatusReply {
        member: text(&status.member),
        acts: status.acts,
        is_stopping: status.is_stopping,
        config_version: status.config_version,
        alive: status.alive.iter().map(|member| text(member)).collect(),
        cells: status
            .cells
            .iter()
            .map(|(cell, line)| (text(cell), text(line)))
            .collect(),
        requests: status.requests,
    };
    serde_json::to_string(&reply).unwrap_or_default()
}

fn config_of(node: &mut Node) -> String {
    let config = node.config();
    let text = render(config.sections());
    let reply = serde_json::json!({
        "version": config.version(),
        "author": config.author(),
        "inventory": text,
    });
    reply.to_string()
}
