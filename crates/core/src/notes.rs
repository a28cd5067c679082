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
    SettingsRead = 1004, "The settings were read again.";
    SettingsFaulty = 1005, "Settings that were read again are faulty; the former ones stay in force.";
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
    StoreAway = 2001, "A call to the store had no answer or was refused.";
    StoreBack = 2002, "The store answers again.";
    StreamsLoading = 2003, "A host that has started still reads jobs or their states; the detail says which streams are missing.";
    StreamsLoaded = 2004, "A host that has started has read what it needs: all jobs and their states, or who owns.";
    ReadFailed = 2005, "A read of a stream of the store brought nothing; the detail says why, when it was sent, and how old what is known from that stream is.";
    ClockJumped = 2006, "The time of day ran ahead of the steady clock: the host was suspended, or its clock was set. What it believes counts as that much older.";
    OwnerClaimed = 2101, "This host has claimed to own the progress of all jobs.";
    OwnerBegun = 2102, "This host has read all there is and acts as the owner.";
    OwnerEnded = 2103, "This host no longer owns the progress of jobs.";
    OwnerSuspected = 2104, "The owner has given no sign of life for too long, or is leaving.";
    RulesInForce = 2201, "Rules of the operator are in force in this process.";
    RulesUnreadable = 2202, "Rules or a worker's report can't be read and are passed over.";
    QueueUnknown = 2203, "A caller asked for what the rules in force send to no queue; the detail gives the status of the answer, and version and age of the rules.";
    QueueCounted = 2204, "A caller was told how many jobs of a queue wait; the detail gives version and age of the rules.";
    RulesBehind = 2205, "The rules in force may be older than they should be; callers are sent elsewhere, and no queue is denied for good.";
    RulesCurrent = 2206, "The rules in force are known to be the newest again.";
    DomainEvacuated = 2207, "The operator has evacuated a failure domain: its workers get nothing new; the detail gives the version of the rules.";
    DomainTakenBack = 2208, "The evacuation of a failure domain is taken back: its workers get new work again.";
    QuestionPutOff = 2209, "A caller asked for what this host could not find out in time, and was told when to come again; the detail gives what for, how long that took, and whether the owner was asked.";
    JobStored = 2301, "A submission or a cancelling is stored; the caller was told so.";
    JobRefused = 2302, "A submission or a cancelling was refused, and is not stored.";
    JobUnknown = 2303, "A submission or a cancelling had no answer from the store in time.";
    JobBegun = 2304, "The first task of a job was given to a worker.";
    JobFailed = 2305, "A task of the job has failed too often, or crashes the workers that start it.";
    JobFinished = 2306, "A job has reached its final state.";
    RunOrdered = 2400, "A worker was ordered to start a run of a task.";
    RunBroken = 2401, "A run of a task ended other than well.";
    StartRefused = 2402, "A worker refused to start a run.";
    RunLagging = 2403, "A run stands still or crawls; it is started elsewhere, or gets a copy.";
    RunLost = 2404, "A run went with its worker; the detail says why the worker was given up, how old the run is, and how long after its order the worker last answered.";
    FillersPaced = 2405, "Fillers on a worker got another share: a served task there is over its target, or well again.";
    TaskSuspected = 2407, "A worker has crashed under a task; the detail says whether its run may be the cause, whether nothing else there may be, and how often that was so.";
    RunVanished = 2408, "A run that was there is missing from its worker's list, and no end of it was listed; the detail gives the newest end handled there, and the newest that the worker was told to forget.";
    TaskWaits = 2409, "A task has waited for long though the steps before it have ended; the detail says what for, and what keeps it from how many workers.";
    WorkerSilent = 2501, "A worker gives no answer; its lease is no longer extended.";
    WorkerBack = 2502, "A worker answers again.";
    WorkerLeaving = 2503, "A worker is about to leave and gets nothing new.";
    WorkerGone = 2504, "A worker is given up; nothing that ran there can be alive.";
    LinkCarried = 2601, "What the link of the owner carried since the last such line: for each kind of call its number, bytes sent and bytes received; how full it is, and what was put off so far.";
    RelayLost = 2602, "The connection of the owner to a relay has ended, or the relay gave no answer; its workers are asked over other relays.";
    OwnerHeard = 2603, "The owner is heard over its connection to this host, which no longer reads the store for it; the detail gives what this host reads.";
    OwnerUnheard = 2604, "The owner is no longer heard over a connection; this host reads in the store who owns.";
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
