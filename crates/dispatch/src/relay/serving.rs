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
use crate::relay::sessions::patience_ms;
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

/// Interval at which an owner is told this host's clock if no other frame tells it. Clocks do not run
/// equally fast, so that what it knows grows wrong.
const CLOCK_GAP_MS: u64 = 4_000;

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
    /// Orders of this turn. If the connection is lost in the same turn, the owner has given them up.
    accepted: Vec<AcceptedOrder>,
    /// When the owner was last told this host's clock.
    told_clock_ms: Option<u64>,
    is_shutdown_sent: bool,
}

/// What applies to all orders of a frame.
#[derive(Debug, Clone, Copy)]
struct FrameContext {
    token: u64,
    /// Time since the frame was sent. 0 if it does not tell, so that its orders are passed on
    /// whatever their age.
    age_ms: u64,
}

/// An order that is passed on at the end of this turn.
#[derive(Debug)]
struct AcceptedOrder {
    owner_ticket: u64,
    token: u64,
    address: Box<str>,
    worker: Box<str>,
    call: WorkerCall,
    timeout_ms: u64,
}

impl AcceptedOrder {
    fn into_action(self, ticket: u64) -> Action {
        Action::Order {
            ticket,
            address: self.address,
            worker: self.worker,
            token: self.token,
            call: self.call,
            timeout_ms: self.timeout_ms,
        }
    }
}

/// Returns the note that an order to start is passed on or not, or `None` for any other order.
fn start_note(code: Code, order: &AcceptedOrder, age_ms: u64) -> Option<Action> {
    let WorkerCall::Start { task, run, .. } = &order.call else {
        return None;
    };
    let detail = format!(
        "run={run} worker={} token={} order={} age_ms={age_ms}",
        order.worker, order.token, order.owner_ticket
    );
    Some(Action::Note(Note::new(code, task.to_string(), detail)))
}

impl Session {
    fn handle_order(
        &mut self,
        context: FrameContext,
        row: &OrderRow,
        evacuations: &Evacuations,
        actions: &mut Vec<Action>,
    ) {
        let call = order_call(row, |job| self.texts.get(&job).cloned());
        let identity = self.workers.get(&row.worker);
        let (Some(call), Some(identity)) = (call, identity) else {
            return self.decline(row);
        };
        // The order may have been delayed on its way, and the owner may have sent it under older
        // rules.
        let is_start = matches!(call, WorkerCall::Start { .. });
        if is_start && evacuations.covers(&identity.failure_domain) {
            return self.decline(row);
        }
        let timeout_ms = u64::from(row.timeout_ms);
        let remaining_ms = patience_ms(timeout_ms).saturating_sub(context.age_ms);
        let order = AcceptedOrder {
            owner_ticket: row.ticket,
            token: context.token,
            address: identity.address.clone(),
            worker: identity.id.clone(),
            call,
            timeout_ms: timeout_ms.min(remaining_ms),
        };
        // The owner no longer waits for it and may have decided otherwise.
        if remaining_ms == 0 {
            actions.extend(start_note(Code::StartExpired, &order, context.age_ms));
            return self.decline(row);
        }
        actions.extend(start_note(Code::StartRelayed, &order, context.age_ms));
        self.accepted.push(order);
    }

    /// Tells the owner that an order was not sent.
    fn decline(&mut self, row: &OrderRow) {
        self.outcomes
            .push(outcome_row(row.ticket, &OrderOutcome::NotSent));
    }

    /// Returns whether a frame is due only to tell the owner this host's clock. No frame is due
    /// before the owner's first one.
    fn must_tell_clock(&self, clock_ms: u64) -> bool {
        self.token > 0
            && self
                .told_clock_ms
                .is_none_or(|told_ms| clock_ms >= told_ms + CLOCK_GAP_MS)
    }
}

/// The relay of this host: the sessions of owners, and their pending orders.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    sessions: BTreeMap<ConnectionId, Session>,
    /// Pending orders: by this host's ticket, the owner's connection and ticket.
    orders: HashMap<u64, (ConnectionId, u64)>,
    answers: Vec<Answer>,
    is_leaving: bool,
    /// Time for which this host was suspended. Its steady clock does not count it, but the owner's
    /// does.
    suspended_ms: u64,
}

impl Relay {
    /// Records that this host was suspended.
    pub(crate) fn record_suspension(&mut self, ms: u64) {
        self.suspended_ms += ms;
    }

    /// Returns the time of the clock that owners are told.
    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms + self.suspended_ms
    }

    /// Handles a frame of an owner.
    pub(crate) fn handle_frame(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        evacuations: &Evacuations,
        now_ms: u64,
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
        let clock_ms = self.clock_ms(now_ms);
        let session = self.sessions.entry(conn).or_default();
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
        let sent_clock_ms = frame.sent_clock_ms.unwrap_or(clock_ms);
        let context = FrameContext {
            token: frame.token,
            age_ms: clock_ms.saturating_sub(sent_clock_ms),
        };
        for row in &frame.orders {
            session.handle_order(context, row, evacuations, actions);
        }
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

    /// Passes on the orders of this turn, and sends outcomes of orders and queries to the owners.
    pub(crate) fn flush(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        let clock_ms = self.clock_ms(now_ms);
        for (conn, session) in &mut self.sessions {
            for order in session.accepted.drain(..) {
                *tickets += 1;
                self.orders.insert(*tickets, (*conn, order.owner_ticket));
                actions.push(order.into_action(*tickets));
            }
            let must_send_shutdown = self.is_leaving && !session.is_shutdown_sent;
            let has_news = !session.outcomes.is_empty() || !session.queries.is_empty();
            if !has_news && !must_send_shutdown && !session.must_tell_clock(clock_ms) {
                continue;
            }
            session.is_shutdown_sent = self.is_leaving;
            session.told_clock_ms = Some(clock_ms);
            let frame = OutcomesFrame {
                outcomes: std::mem::take(&mut session.outcomes),
                queries: std::mem::take(&mut session.queries),
                is_leaving: self.is_leaving,
                clock_ms: Some(clock_ms),
            };
            actions.push(Action::SendFrame {
                conn: *conn,
                bytes: frame.encode_to_vec().into(),
            });
        }
    }
}
