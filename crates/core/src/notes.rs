//! Numbered events: what the system says of itself.

use crate::macros::plain;

/// Declares the numbered events, with the sentence that the catalogue gives.
macro_rules! codes {
    ($($name:ident = $number:literal, $meaning:literal;)*) => {
        /// A numbered event; `docs/user/events.md` lists all.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl Code {
            /// All events in the order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Gives the number.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Gives the name as written in logs.
            pub fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }

            /// Says what the event means.
            pub fn meaning(self) -> &'static str {
                match self { $(Code::$name => $meaning,)* }
            }

            /// Finds the event with a number.
            pub fn find(number: u16) -> Option<Code> {
                Code::ALL.iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

codes! {
    Started = 1001, "The daemon has started.";
    Stopping = 1002, "A planned stop has begun; readiness is off.";
    Stopped = 1003, "The last request in flight was answered; the daemon ends.";
    LeaseGained = 1101, "A majority of voters has promised; the member may act.";
    LeaseLost = 1102, "The lease has lapsed; the member starts another life without cells.";
    Consented = 1103, "This voter consents to deposing a member.";
    Deposed = 1104, "A member is deposed; its cells are free.";
    CellClaimed = 1105, "A cell has got this member as its owner.";
    CellOpened = 1106, "The owner knows all it must and serves the cell.";
    CellGone = 1107, "This member no longer owns the cell.";
    LifeHanded = 1108, "A host that stops has handed its life over, since the log is away.";
    LifeCarried = 1109, "This host carries on the life of another one.";
    LogAway = 1201, "The log does not answer.";
    LogBack = 1202, "The log answers again.";
    BatchResolved = 1203, "A batch whose answer was lost was found in the log.";
    BatchRepeated = 1204, "A batch whose answer was lost is not in the log and is appended again.";
    RecordUnreadable = 1205, "A record of the log can't be read and is passed over.";
    StateMissing = 1206, "The log no longer holds records that are needed; what they held is unknown.";
    StateCarried = 1207, "State was carried forward in a stream.";
    ConfigInForce = 1301, "A configuration is in force in this process.";
    ConfigRefused = 1302, "A published change has no effect.";
    RequestTaken = 1401, "A request was taken from a caller.";
    RequestGranted = 1402, "A slot of an instance is held for the request.";
    RequestRetried = 1403, "The request is sent once more; the former attempt has ended.";
    RequestAnswered = 1404, "The caller has got the answer.";
    IntentRecorded = 1405, "The intent of a non-idempotent request stands in the log.";
    IntentRepeated = 1406, "A caller repeated the identity of an earlier request.";
    JobAccepted = 1501, "A job was accepted.";
    JobAssigned = 1502, "A job was assigned to a cell of workers.";
    JobStarted = 1503, "A job runs.";
    JobEvicted = 1504, "A job stopped and will resume.";
    JobEnded = 1505, "A job has ended.";
    LinkClosed = 1601, "A link to a peer was closed.";
    LinkRefused = 1602, "A frame or a peer was refused.";
    CallerRefused = 1701, "A caller's connection or message was refused.";
}

plain! {
    /// One event: its number, what it is about, and details.
    pub struct Note {
        /// The event.
        pub code: Code,
        /// Request, job, cell or member that it is about.
        pub subject: Box<str>,
        /// Details in words.
        pub detail: Box<str>,
    }
}

impl Note {
    /// Makes a note.
    pub fn new(code: Code, subject: impl Into<String>, detail: impl Into<String>) -> Self {
        Self {
            code,
            subject: subject.into().into(),
            detail: detail.into().into(),
        }
    }
}
