//! Numbered events that the system logs about itself.

use crate::macros::plain;

/// Declares the numbered events, with the sentence that the catalogue has for each.
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

            /// Returns the number.
            pub fn number(self) -> u16 {
                self as u16
            }

            /// Returns the name as written in logs.
            pub fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }

            /// Returns the meaning of the event.
            pub fn meaning(self) -> &'static str {
                match self { $(Code::$name => $meaning,)* }
            }

            /// Returns the event with a number.
            pub fn find(number: u16) -> Option<Code> {
                Code::ALL.iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

codes! {
    Started = 1001, "The daemon has started.";
    Stopping = 1002, "A planned shutdown has begun; the host reports that it is not ready.";
    Stopped = 1003, "The last request in flight was answered; the daemon exits.";
    SettingsRead = 1004, "The settings were read again.";
    SettingsFaulty = 1005, "Settings that were read again are faulty; the previous ones stay in force.";
    LeaseGained = 1101, "A majority of voters has granted the lease; the member may act.";
    LeaseLost = 1102, "The lease has expired; the member starts a new incarnation without cells.";
    Consented = 1103, "This voter consents to deposing a member.";
    Deposed = 1104, "A member is deposed; its cells are free.";
    CellClaimed = 1105, "This member has become the owner of a cell.";
    CellOpened = 1106, "The owner has recovered the cell's state and serves the cell.";
    CellGone = 1107, "This member no longer owns the cell.";
    LifeHanded = 1108, "A host that shuts down while the log is unavailable has handed over its incarnation and cells.";
    LifeCarried = 1109, "This host has inherited the incarnation and cells of another host.";
    LogAway = 1201, "The log does not answer.";
    LogBack = 1202, "The log answers again.";
    BatchResolved = 1203, "A batch whose acknowledgement was lost was found in the log.";
    BatchRepeated = 1204, "A batch whose acknowledgement was lost is not in the log and is appended again.";
    RecordUnreadable = 1205, "A record of the log can't be decoded and is skipped.";
    StateMissing = 1206, "The log no longer has records that are needed; their content is unknown.";
    StateCarried = 1207, "A snapshot was written to a stream.";
    ConfigInForce = 1301, "A configuration is in force in this process.";
    ConfigRefused = 1302, "A published change has no effect.";
    RequestTaken = 1401, "A request was accepted from a caller.";
    RequestGranted = 1402, "A slot of an instance is granted to the request.";
    RequestRetried = 1403, "The request is sent once more; the previous attempt has ended.";
    RequestAnswered = 1404, "The caller has received the answer.";
    IntentRecorded = 1405, "The intent of a non-idempotent request is recorded in the log.";
    IntentRepeated = 1406, "A caller repeated the identity of an earlier request.";
    JobAccepted = 1501, "A job was accepted.";
    JobAssigned = 1502, "A job was assigned to a cell of workers.";
    JobStarted = 1503, "A job has started to run.";
    JobEvicted = 1504, "A job has stopped and will resume.";
    JobEnded = 1505, "A job has ended.";
    LinkClosed = 1601, "A connection to a peer was closed.";
    LinkRefused = 1602, "A frame or a peer was rejected.";
    CallerRefused = 1701, "A caller's connection or message was rejected.";
    StoreAway = 2001, "A call to the store got no answer or was refused.";
    StoreBack = 2002, "The store answers again.";
    StreamsLoading = 2003, "A host that has started is still reading jobs or their states; the detail lists the streams that are missing.";
    StreamsLoaded = 2004, "A host that has started has read what it needs: all jobs and their states, or who the owner is.";
    ReadFailed = 2005, "A read of a stream of the store returned nothing; the detail gives the cause, when the read was sent, and the age of what is known from that stream.";
    ClockJumped = 2006, "The time of day ran ahead of the monotonic clock: the host was suspended, or its clock was set. All that it has read counts as that much older.";
    ClockDoubted = 2007, "This host's clock differs from the time of day in use by 2 s or more: it has just jumped, or other hosts show another time; the detail gives by how much it is ahead, and the number of other hosts whose times count.";
    ClockTrusted = 2008, "This host's clock agrees with the time of day in use again.";
    OwnerClaimed = 2101, "This host has claimed ownership of the progress of all jobs.";
    OwnerBegun = 2102, "This host has read all available streams and acts as the owner.";
    OwnerEnded = 2103, "This host no longer owns the progress of jobs.";
    OwnerSuspected = 2104, "The owner has sent no heartbeat for too long, or is leaving.";
    LeasesInherited = 2105, "A new owner has read for how long the leases of silent workers last; the detail gives how many workers, the longest time left, the token of the owner that recorded it, and the age of that record as far as this host knows it.";
    RulesInForce = 2201, "Rules of the operator are in force in this process.";
    RulesUnreadable = 2202, "Rules or a worker's report can't be decoded and are skipped.";
    QueueUnknown = 2203, "A caller asked for something that the rules in force assign to no queue; the detail gives the status of the answer, and the version and age of the rules.";
    QueueCounted = 2204, "A caller was given the number of waiting jobs of a queue; the detail gives the version and age of the rules.";
    RulesBehind = 2205, "The rules in force may be older than permitted; callers are sent to other hosts, and no queue is reported as unknown for good.";
    RulesCurrent = 2206, "The rules in force are known to be the newest again.";
    DomainEvacuated = 2207, "The operator has evacuated a failure domain: its workers get no new tasks; the detail gives the version of the rules.";
    DomainTakenBack = 2208, "The evacuation of a failure domain has ended: its workers get new tasks again.";
    QuestionPutOff = 2209, "A caller's query could not be answered in time, and the caller was told when to ask again; the detail gives the query, how long it took, and whether the owner was asked.";
    JobStored = 2301, "A submission or a cancellation is stored, and the caller was informed; `cancel_unknown` in the detail is the cancellation of a job that was not known.";
    JobRefused = 2302, "A submission or a cancellation was refused, and is not stored.";
    JobUnknown = 2303, "A submission or a cancellation got no answer from the store in time.";
    JobBegun = 2304, "A worker has confirmed the first run of a job.";
    JobFailed = 2305, "A task of the job has failed too often, or crashes the workers that start it.";
    JobFinished = 2306, "A job has reached its final state.";
    JobTimes = 2307, "A job has ended, and its end is published: the detail gives the milliseconds of each phase, their total, by how much it missed its objective, what its caller has estimated, and the task that each step ended with, as step.task:run@worker:milliseconds.";
    JobsForgotten = 2308, "This host has forgotten finished jobs whose state need not be available any more; the detail gives how many, the shortest and longest time for which they were finished, and whether the host, as the owner, deletes them from the store.";
    RunOrdered = 2400, "A worker was ordered to start a run of a task; the detail gives the age of its last answer, the number of the attempt, as an order without an answer is repeated, the age of the list of workers, the number of the order, and the host that relays it.";
    RunBroken = 2401, "A run of a task ended without success.";
    StartRefused = 2402, "A worker refused to start a run.";
    RunLagging = 2403, "A run makes no progress or is far slower than its siblings; it is started elsewhere, or gets a copy.";
    RunLost = 2404, "A run was lost with its worker; the detail gives why the worker was removed, the age of the run, and how long after the order the worker last answered.";
    FillersPaced = 2405, "Best-effort tasks on a worker got another CPU share: a serving task there is over its latency target, or meets it again.";
    ProcessorsShort = 2406, "Best-effort tasks on a worker got a smaller CPU share: its latency-critical tasks need the processors; the detail gives the demand and the limit in percent of what the worker has.";
    TaskSuspected = 2407, "A worker has crashed under a task; the detail says whether its run may be the cause, whether it is the only possible one, and how often that was so.";
    RunVanished = 2408, "A confirmed run is missing from its worker's report, and no exit of it was reported; the detail gives the newest exit handled there, and the newest that the worker was told to forget.";
    TaskWaits = 2409, "A task has waited for long though the steps before it have ended; the detail gives what it waits for, and what excludes how many workers.";
    RunsUnreported = 2410, "Runs that should be at a worker are missing from its report, and so are their exits; the detail gives how many, one of them and its phase, and how many runs and exits the report lists.";
    IsolationAwaited = 2411, "A task that may have crashed workers waits for one without other suspects, or for one to itself; the detail gives for how long at most, and the evidence: confirmed and possible crashes, and lost runs whose fate is not known.";
    QueueHeldBack = 2412, "Jobs of a queue wait behind those of others of its priority, as it holds more than an equal part; the detail gives what it holds, what it has held of late and the equal part, in millionths of the service.";
    RoomKept = 2413, "Room is kept on workers for a step whose tasks have waited for long and are too wide for what others leave free; the detail gives the workers, when the tasks should fit, and for how long it is kept at most.";
    IdleStart = 2414, "A best-effort task was assigned at a reduced CPU share, as nothing of its job ran and no worker takes it at its full share; the detail gives the worker, the share and how long the job has waited.";
    StopOrdered = 2415, "A worker was ordered to stop a run; the detail gives the incarnation, whether the run belongs to no task any more, whether it was seen there, the number of the order, and the host that relays it.";
    StartRelayed = 2416, "This host has received an order to start a run from the owner and passes it on to the worker; the detail gives the owner's token, its number of the order, as in `RunOrdered`, and how long the order was on its way.";
    StartExpired = 2417, "An order to start a run reached this host, which relays it, after the owner had given it up, and is not passed on; the detail gives its age, and otherwise what `StartRelayed` gives.";
    RemovalDeferred = 2418, "A new owner does not give up a worker that it has never reached, as most workers have not answered it and may still confirm the previous owner; the detail gives the runs there, and how many workers are listed and have answered.";
    StartWithheld = 2420, "An order to start a run that was decided earlier was not sent; the detail gives why, and how many earlier orders to start the run had no answer: if any, the run is stopped at its worker before its task starts elsewhere.";
    WorkerSilent = 2501, "A worker does not answer; its lease is no longer extended. The detail gives its incarnation, as known and as listed, for how long its leases may last and on what that rests (`leases_by`), and whether a record for the next owner says so.";
    WorkerBack = 2502, "A worker answers again.";
    WorkerLeaving = 2503, "A worker is about to leave and gets no new tasks.";
    WorkerGone = 2504, "A worker is removed; no run on it can be alive.";
    WorkerRestarted = 2505, "A worker has restarted under its id; the detail gives the incarnation, what tells of it, and for how long leases may last that were given by the clock of the previous incarnation.";
    LinkCarried = 2601, "Traffic on the owner's network link since the last such event: for each kind of call its number, bytes sent and bytes received; how full the link is, and how many calls were deferred so far.";
    RelayLost = 2602, "The owner's connection to a relay was lost, or the relay did not answer; its workers are called over other relays.";
    OwnerHeard = 2603, "This host receives the owner's heartbeats over its connection and no longer reads the store for it; the detail gives what this host reads.";
    OwnerUnheard = 2604, "This host no longer receives the owner's heartbeats over a connection and reads from the store who the owner is.";
}

plain! {
    /// One occurrence of a numbered event.
    pub struct Note {
        /// The event.
        pub code: Code,
        /// Request, job, cell or member that it concerns.
        pub subject: Box<str>,
        /// Details as text.
        pub detail: Box<str>,
    }
}

impl Note {
    /// Creates a note.
    pub fn new(code: Code, subject: impl Into<String>, detail: impl Into<String>) -> Self {
        Self {
            code,
            subject: subject.into().into(),
            detail: detail.into().into(),
        }
    }
}
