//! The relay's side of the connections: it calls workers as owners order, returns the outcomes, and
//! forwards callers' queries to the owner.

use crate::evacuations::Evacuations;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::OrderOutcome;
use crate::event::WorkerCall;
use crate::ids::JobId;
use crate::relay::frames::OrderOutcomeRow;
use crate::relay::frames::OrderRow;
use crate::relay::frames::OrdersFrame;
use crate::relay::frames::OutcomesFrame;
use crate::relay::frames::QueryRow;
use crate::relay::queries::Answer;
use crate::relay::queries::QuerySubject;
use crate::relay::queries::answer;
use crate::relay::queries::query_row;
use crate::relay::rows::order_call;
use crate::relay::rows::outcome_row;
use crate::relay::sessions::HEARTBEAT_INTERVAL_MS;
use crate::relay::sessions::OwnerHeartbeat;
use crate::relay::sessions::RELAY_OVERHEAD_MS;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use prost::Message;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

/// The address of a worker, and the incarnation that orders are for.
#[derive(Debug)]
struct WorkerIdentity {
    address: Box<str>,
    id: Box<str>,
    failure_domain: Box<str>,
}

/// Time without a frame after which an owner counts as silent: two heartbeats, and one turn of a
/// busy host.
const OWNER_SILENCE_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS + 500;

/// State of the connection of one owner: what the owner has sent, and what is to be sent to it.
#[derive(Debug, Default)]
struct Session {
    /// The owner's token; 0 before its first frame.
    token: u64,
    last_received_ms: u64,
    heartbeat: OwnerHeartbeat,
    /// When a frame first said that the store holds the newest heartbeat.
    heartbeat_ms: u64,
    queries: Vec<QueryRow>,
    /// Workers by the numbers that the owner has assigned.
    workers: HashMap<u32, WorkerIdentity>,
    texts: HashMap<JobId, Rc<str>>,
    outcomes: Vec<OrderOutcomeRow>,
    /// The owner has sent its first frame and is to be told this host's clock.
    awaits_clock: bool,
    is_shutdown_sent: bool,
}

/// What applies to all orders of a frame.
#[derive(Debug, Clone, Copy)]
struct OrderContext {
    conn: ConnectionId,
    token: u64,
    /// Time since the frame was sent; 0 if it does not tell.
    age_ms: u64,
}

/// The relay of this host: the sessions of owners, and their pending orders.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    sessions: BTreeMap<ConnectionId, Session>,
    /// Pending orders: by this host's ticket, the owner's connection and ticket.
    orders: HashMap<u64, (ConnectionId, u64)>,
    answers: Vec<Answer>,
    is_leaving: bool,
}

impl Relay {
    /// Handles a frame of an owner.
    pub(crate) fn handle_frame(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        evacuations: &Evacuations,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let frame = match OrdersFrame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                // The rest of this connection can't be decoded either.
                actions.push(Action::Note(Note::new(
                    Code::LinkRefused,
                    "relayed orders",
                    format!("step=decode why={error}"),
                )));
                actions.push(Action::CloseConnection { conn });
                self.handle_lost(conn);
                return;
            }
        };
        let session = self.sessions.entry(conn).or_insert_with(|| Session {
            awaits_clock: true,
            ..Session::default()
        });
        session.token = frame.token;
        session.last_received_ms = now_ms;
        if frame.stored_end > session.heartbeat.stored_end {
            session.heartbeat.stored_end = frame.stored_end;
            session.heartbeat_ms = now_ms;
        }
        session.heartbeat.is_leaving |= frame.is_leaving;
        self.answers.extend(frame.answers.iter().map(answer));
        if frame.clears_texts {
            session.texts.clear();
        }
        for worker in frame.workers {
            let identity = WorkerIdentity {
                address: worker.address.into(),
                id: worker.id.into(),
                failure_domain: worker.failure_domain.into(),
            };
            session.workers.insert(worker.number, identity);
        }
        for text in frame.texts {
            session.texts.insert(JobId(text.job), text.text.into());
        }
        let sent_clock_ms = frame.sent_clock_ms.unwrap_or(now_ms);
        let context = OrderContext {
            conn,
            token: frame.token,
            age_ms: now_ms.saturating_sub(sent_clock_ms),
        };
        for row in &frame.orders {
            self.handle_order(context, row, evacuations, tickets, actions);
        }
    }

    fn handle_order(
        &mut self,
        context: OrderContext,
        row: &OrderRow,
        evacuations: &Evacuations,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let OrderContext {
            conn,
            token,
            age_ms,
        } = context;
        let Some(session) = self.sessions.get_mut(&conn) else {
            return;
        };
        let call = order_call(row, |job| session.texts.get(&job).cloned());
        let identity = session.workers.get(&row.worker);
        let (Some(call), Some(identity)) = (call, identity) else {
            // The owner sends the order itself.
            session
                .outcomes
                .push(outcome_row(row.ticket, &OrderOutcome::NotSent));
            return;
        };
        // The order may have been delayed on its way, and the owner may have sent it under older
        // rules.
        let is_start = matches!(call, WorkerCall::Start { .. });
        if is_start && evacuations.covers(&identity.failure_domain) {
            session
                .outcomes
                .push(outcome_row(row.ticket, &OrderOutcome::NotSent));
            return;
        }
        let timeout_ms = u64::from(row.timeout_ms);
        let remaining_ms = (timeout_ms + RELAY_OVERHEAD_MS).saturating_sub(age_ms);
        if let WorkerCall::Start { task, run, .. } = &call {
            let code = match remaining_ms {
                0 => Code::StartExpired,
                _ => Code::StartRelayed,
            };
            let detail = format!(
                "run={run} worker={} token={token} order={} age_ms={age_ms}",
                identity.id, row.ticket
            );
            actions.push(Action::Note(Note::new(code, task.to_string(), detail)));
        }
        // The owner no longer waits for it and may have decided otherwise.
        if remaining_ms == 0 {
            session
                .outcomes
                .push(outcome_row(row.ticket, &OrderOutcome::NotSent));
            return;
        }
        *tickets += 1;
        self.orders.insert(*tickets, (conn, row.ticket));
        actions.push(Action::Order {
            ticket: *tickets,
            address: identity.address.clone(),
            worker: identity.id.clone(),
            token,
            call,
            timeout_ms: timeout_ms.min(remaining_ms),
        });
    }

    /// Handles the outcome of an order, and returns whether an owner had sent the order.
    pub(crate) fn handle_outcome(&mut self, ticket: u64, outcome: &OrderOutcome) -> bool {
        let Some((conn, owner_ticket)) = self.orders.remove(&ticket) else {
            return false;
        };
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.outcomes.push(outcome_row(owner_ticket, outcome));
        }
        true
    }

    /// Returns the connection of the live owner, or `None` if no owner's frames arrive. An owner
    /// whose token is lower than the given one has been replaced.
    pub(crate) fn owner_connection(&self, token: u64, now_ms: u64) -> Option<ConnectionId> {
        let mut found: Option<(u64, ConnectionId)> = None;
        for (conn, session) in &self.sessions {
            let is_recent = now_ms <= session.last_received_ms + OWNER_SILENCE_MS;
            let is_newer = found.is_none_or(|(newest, _)| session.token > newest);
            if is_recent && session.token >= token && is_newer {
                found = Some((session.token, *conn));
            }
        }
        found.map(|(_, conn)| conn)
    }

    /// Returns the token of the owner behind a connection; 0 if it has sent no frame.
    pub(crate) fn owner_token(&self, conn: ConnectionId) -> u64 {
        let session = self.sessions.get(&conn);
        session.map_or(0, |session| session.token)
    }

    /// Returns when the newest frame of an owner arrived over this connection; 0 if there is none.
    pub(crate) fn last_received_ms(&self, conn: ConnectionId) -> u64 {
        let session = self.sessions.get(&conn);
        session.map_or(0, |session| session.last_received_ms)
    }

    /// Returns the newest heartbeat of an owner over this connection, and when it arrived. `None`
    /// if the owner has sent none, or is shutting down.
    pub(crate) fn heartbeat(&self, conn: ConnectionId) -> Option<(u64, OwnerHeartbeat)> {
        let session = self.sessions.get(&conn)?;
        let is_valid = session.heartbeat.stored_end > 0 && !session.heartbeat.is_leaving;
        is_valid.then_some((session.heartbeat_ms, session.heartbeat))
    }

    /// Sends a query to an owner with the next frame.
    pub(crate) fn send_query(&mut self, conn: ConnectionId, ticket: u64, subject: QuerySubject) {
        if let Some(session) = self.sessions.get_mut(&conn) {
            session.queries.push(query_row(ticket, subject));
        }
    }

    /// Removes and returns the answers of owners.
    pub(crate) fn drain_answers(&mut self) -> Vec<Answer> {
        std::mem::take(&mut self.answers)
    }

    /// Accepts no further orders, as this host is about to stop.
    pub(crate) fn begin_shutdown(&mut self) {
        self.is_leaving = true;
    }

    /// Drops the session of an owner whose connection was lost. Its pending orders continue.
    pub(crate) fn handle_lost(&mut self, conn: ConnectionId) {
        self.sessions.remove(&conn);
    }

    /// Sends outcomes of orders and queries to the owners.
    pub(crate) fn flush(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for (conn, session) in &mut self.sessions {
            let must_send_shutdown = self.is_leaving && !session.is_shutdown_sent;
            if session.outcomes.is_empty()
                && session.queries.is_empty()
                && !must_send_shutdown
                && !session.awaits_clock
            {
                continue;
            }
            session.awaits_clock = false;
            session.is_shutdown_sent = self.is_leaving;
            let frame = OutcomesFrame {
                outcomes: std::mem::take(&mut session.outcomes),
                queries: std::mem::take(&mut session.queries),
                is_leaving: self.is_leaving,
                clock_ms: Some(now_ms),
            };
            actions.push(Action::SendFrame {
                conn: *conn,
                bytes: frame.encode_to_vec().into(),
            });
        }
    }
}
