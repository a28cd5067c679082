//! Cluster membership: heartbeats, lease votes, consents to depose, and the set of
//! live members.
//!
//! Owners that are not alive are deposed by a record in the log, which is written
//! only after a majority of voters has consented.

use super::Node;
use crate::event::Action;
use crate::ids::Member;
use crate::ids::Seat;
use crate::lease::Lease;
use crate::lease::LeaseState;
use crate::message::Message;
use crate::notes::Code;
use crate::record::Record;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// How long a consent is valid, from the time at which it was requested.
const CONSENT_MS: u64 = 1_000;

/// What this member knows about the other members.
#[derive(Debug, Clone, Default)]
pub(super) struct Peers {
    /// As a voter: the latest heartbeat from each seat.
    last_heartbeats: HashMap<Seat, LastHeartbeat>,
    /// As a voter: members that another seat has inherited, with that seat and the
    /// time of its latest heartbeat for them.
    inherited: BTreeMap<Member, (Seat, u64)>,
    /// As a member: the live members according to each voter.
    voter_reports: HashMap<Seat, VoterReport>,
    /// Live members according to the current reports of all voters.
    alive: BTreeSet<Member>,
    /// Time since which each of them has been alive.
    alive_since_ms: HashMap<Member, u64>,
    next_heartbeat_ms: u64,
    /// Configuration version that each voter had in force at its latest vote.
    pub(super) config_versions: HashMap<Seat, u64>,
}

/// The latest heartbeat that a voter received from a seat.
#[derive(Debug, Clone)]
struct LastHeartbeat {
    incarnation: u64,
    at_ms: u64,
    is_leaving: bool,
}

/// The live and inherited members as one voter reports them.
#[derive(Debug, Clone, Default)]
struct VoterReport {
    at_ms: u64,
    digest: u64,
    members: Box<[Member]>,
    inherited: Box<[(Member, Seat)]>,
}

/// An attempt to depose a member.
#[derive(Debug, Clone, Default)]
pub(super) struct DeposeAttempt {
    /// Voters that consented, with the time at which each consent was requested.
    consents: HashMap<Member, u64>,
    /// When this member first found the target dead.
    since_ms: u64,
    /// Whether the record that deposes the target was passed to the writer.
    is_submitted: bool,
}

/// Returns a digest of the live members and of the members inherited by each seat.
fn membership_digest(members: &[Member], inherited: &[(Member, Seat)]) -> u64 {
    let mut bytes = Vec::with_capacity(members.len() * 10);
    for member in members {
        bytes.extend(member.seat.0.to_le_bytes());
        bytes.extend(member.incarnation.to_le_bytes());
    }
    for (original, seat) in inherited {
        bytes.extend(seat.0.to_le_bytes());
        bytes.extend(original.seat.0.to_le_bytes());
        bytes.extend(original.incarnation.to_le_bytes());
    }
    xxh3_64(&bytes)
}

impl Node {
    /// Returns the seats that vote.
    pub(super) fn voters(&self) -> &[Seat] {
        &self.seats[..self.seats.len().min(self.limits.voters)]
    }

    fn is_quorum(&self, count: usize) -> bool {
        count > self.voters().len() / 2
    }

    /// Returns the members that are considered alive.
    pub(super) fn alive(&self) -> &BTreeSet<Member> {
        &self.peers.alive
    }

    /// Returns the time since which this member has considered `member` alive.
    pub(super) fn alive_since_ms(&self, member: Member) -> Option<u64> {
        self.peers.alive_since_ms.get(&member).copied()
    }

    /// Returns whether a majority of voters has at least configuration `version` in
    /// force.
    pub(super) fn has_majority_in_force(&self, version: u64) -> bool {
        let count = self
            .peers
            .config_versions
            .values()
            .filter(|voter| **voter >= version)
            .count();
        self.is_quorum(count)
    }

    /// Ends this incarnation if its lease has expired, and reports a lease that is
    /// gained.
    pub(super) fn check_lease(&mut self) {
        match self.lease.state(self.now_ms) {
            LeaseState::Joining => {}
            LeaseState::InForce { .. } => {
                if !self.was_in_force {
                    self.was_in_force = true;
                    self.note(Code::LeaseGained, self.me.to_string(), "");
                    self.out.push(Action::Ready(!self.is_stopping));
                }
            }
            LeaseState::Expired => self.begin_new_incarnation(),
        }
    }

    /// Starts a new incarnation if the log says that this one is deposed.
    ///
    /// The wall clock of a replacement host may run behind that of its predecessor.
    /// Its incarnation is then lower than one that was deposed, and without this
    /// step none of its claims would ever have an effect. The symptom is cells
    /// without an owner while all members are alive.
    fn replace_deposed_incarnation(&mut self) {
        if !self.claims.is_deposed(self.me) {
            return;
        }
        self.me.incarnation = self.claims.deposed_incarnation(self.me.seat);
        self.begin_new_incarnation();
    }

    /// Starts a new incarnation, which owns no cells. Requests in flight continue,
    /// so that callers still receive the answers to attempts that were already sent
    /// to an instance.
    fn begin_new_incarnation(&mut self) {
        let previous = self.me;
        self.me.incarnation += 1;
        self.incarnation_began_ms = self.now_ms;
        self.lease = Lease::new(self.voters().len());
        self.was_in_force = false;
        self.drop_all_cells();
        self.drop_all_inherited();
        self.depose_attempts.clear();
        self.peers.next_heartbeat_ms = self.now_ms;
        self.note(
            Code::LeaseLost,
            previous.to_string(),
            "acts for nothing any more",
        );
        self.out.push(Action::Ready(false));
    }

    pub(super) fn tick_members(&mut self) {
        if self.now_ms < self.peers.next_heartbeat_ms {
            return;
        }
        self.peers.next_heartbeat_ms = self.now_ms + self.limits.heartbeat_ms;
        self.replace_deposed_incarnation();
        self.send_heartbeat(self.me);
        self.heartbeat_inherited();
        self.request_state();
        self.merge_voter_reports();
        if self.acts_until_ms().is_none() {
            return;
        }
        self.depose_dead_owners();
        self.claim_free_cells();
        self.claim_inherited_cells();
    }

    /// Requests lease votes for `member` from all voters.
    pub(super) fn send_heartbeat(&mut self, member: Member) {
        let heartbeat = Message::Heartbeat {
            member,
            sent_ms: self.now_ms,
            config_version: self.config.version(),
            is_leaving: self.is_stopping,
        };
        for voter in self.voters().to_vec() {
            self.send(voter, heartbeat.clone());
        }
    }

    /// Makes the next heartbeats due at once.
    pub(super) fn send_heartbeat_soon(&mut self) {
        self.peers.next_heartbeat_ms = self.now_ms;
    }

    pub(super) fn receive_membership(&mut self, from: Member, message: Message) {
        match message {
            Message::Heartbeat {
                member,
                sent_ms,
                config_version,
                is_leaving,
            } => {
                self.record_heartbeat(from, member, is_leaving);
                self.answer_heartbeat(from, member, sent_ms, config_version);
            }
            Message::LeaseVote {
                member,
                sent_ms,
                is_granted,
                config_version,
                alive,
            } => {
                self.record_vote(from, member, sent_ms, is_granted);
                self.handle_alive_digest(from, config_version, alive);
            }
            Message::AliveRequest => {
                let (members, inherited) = (self.heard_alive(), self.heard_inherited());
                let alive = Message::Alive {
                    digest: membership_digest(&members, &inherited),
                    members: members.into(),
                    inherited: inherited.into(),
                };
                self.send(from.seat, alive);
            }
            Message::StateRequest => self.send_state(from.seat),
            Message::State { claims, config } => self.apply_state(&claims, &config),
            Message::Handover(handover) => self.accept_handover(handover),
            Message::Alive {
                digest,
                members,
                inherited,
            } => {
                let report = VoterReport {
                    at_ms: self.now_ms,
                    digest,
                    members,
                    inherited,
                };
                self.peers.voter_reports.insert(from.seat, report);
                self.merge_voter_reports();
            }
            Message::ConsentRequest { target, asked_ms } => {
                self.handle_consent_request(from, target, asked_ms)
            }
            Message::Consent { target, asked_ms } => self.handle_consent(from, target, asked_ms),
            _ => {}
        }
    }

    /// As a voter: handles a request to consent to deposing `target`.
    fn handle_consent_request(&mut self, from: Member, target: Member, asked_ms: u64) {
        if !self.voter.consent(self.now_ms, target) {
            return;
        }
        self.note(Code::Consented, target.to_string(), from.to_string());
        self.send(from.seat, Message::Consent { target, asked_ms });
    }

    /// As a voter: records that `from` is alive, or that it acts for the inherited
    /// `member`.
    fn record_heartbeat(&mut self, from: Member, member: Member, is_leaving: bool) {
        if member != from {
            self.peers
                .inherited
                .insert(member, (from.seat, self.now_ms));
            return;
        }
        let heartbeat = LastHeartbeat {
            incarnation: from.incarnation,
            at_ms: self.now_ms,
            is_leaving,
        };
        self.peers.last_heartbeats.insert(from.seat, heartbeat);
    }

    /// As a voter: answers a request for a lease vote for `member`.
    ///
    /// A member whose configuration is older than that of this voter gets no vote
    /// until it has caught up. Once a majority of voters has a version in force, a
    /// process without that version therefore loses its lease and stops acting
    /// under the old configuration.
    fn answer_heartbeat(
        &mut self,
        from: Member,
        member: Member,
        sent_ms: u64,
        config_version: u64,
    ) {
        let is_current = config_version >= self.config.version();
        let is_granted = is_current && self.voter.grant_vote(self.now_ms, member, &self.limits);
        let vote = Message::LeaseVote {
            member,
            sent_ms,
            is_granted,
            config_version: self.config.version(),
            alive: membership_digest(&self.heard_alive(), &self.heard_inherited()),
        };
        self.send(from.seat, vote);
    }

    fn heard_inherited(&self) -> Vec<(Member, Seat)> {
        let inherited = self.peers.inherited.iter();
        let fresh =
            inherited.filter(|(_, (_, at_ms))| self.now_ms < at_ms + self.limits.suspect_ms);
        fresh.map(|(member, (seat, _))| (*member, *seat)).collect()
    }

    fn heard_alive(&self) -> Vec<Member> {
        let mut members = Vec::new();
        for (seat, heartbeat) in &self.peers.last_heartbeats {
            if heartbeat.is_leaving || self.now_ms >= heartbeat.at_ms + self.limits.suspect_ms {
                continue;
            }
            members.push(Member {
                seat: *seat,
                incarnation: heartbeat.incarnation,
            });
        }
        members.sort_unstable();
        members
    }

    fn record_vote(&mut self, voter: Member, member: Member, sent_ms: u64, is_granted: bool) {
        let lease_ms = self.limits.lease_ms;
        if !is_granted {
            return;
        }
        if member != self.me {
            // The vote is for an inherited member, or for a previous incarnation
            // of this process, which no longer counts.
            if let Some(inherited) = self.inherited.get_mut(&member) {
                inherited.lease.record_vote(voter.seat, sent_ms, lease_ms);
                self.check_inherited();
            }
            return;
        }
        if sent_ms >= self.incarnation_began_ms {
            self.lease.record_vote(voter.seat, sent_ms, lease_ms);
            self.check_lease();
        }
    }

    fn handle_alive_digest(&mut self, voter: Member, config_version: u64, alive_digest: u64) {
        self.peers
            .config_versions
            .insert(voter.seat, config_version);
        if config_version > self.config.version() {
            self.config_log.read_soon();
        }
        let report = self.peers.voter_reports.entry(voter.seat).or_default();
        report.at_ms = self.now_ms;
        if report.digest != alive_digest {
            self.send(voter.seat, Message::AliveRequest);
        }
    }

    /// Merges the voters' reports of live members. Reports of a voter that has been
    /// silent for too long are ignored.
    fn merge_voter_reports(&mut self) {
        let mut alive = BTreeSet::new();
        self.successors.clear();
        for report in self.peers.voter_reports.values() {
            if self.now_ms >= report.at_ms + self.limits.suspect_ms {
                continue;
            }
            alive.extend(report.members.iter().copied());
            self.successors.extend(report.inherited.iter().copied());
        }
        // Of two incarnations at one seat only the newest is alive.
        let newest: HashMap<Seat, u64> = alive
            .iter()
            .map(|member| (member.seat, member.incarnation))
            .collect();
        alive.retain(|member| newest.get(&member.seat) == Some(&member.incarnation));
        let now_ms = self.now_ms;
        let since = &mut self.peers.alive_since_ms;
        since.retain(|member, _| alive.contains(member));
        for member in &alive {
            since.entry(*member).or_insert(now_ms);
        }
        self.peers.alive = alive;
    }

    /// Requests consents to depose owners that are not alive. Members start one
    /// after the other by rank, `TURN_MS` apart, so that usually only one writes
    /// the record.
    fn depose_dead_owners(&mut self) {
        const TURN_MS: u64 = 1_000;
        if self.peers.alive.is_empty() || !self.claims_log.is_current(self.now_ms, &self.limits) {
            return;
        }
        let rank = self
            .peers
            .alive
            .iter()
            .position(|member| *member == self.me);
        let Some(rank) = rank else {
            return;
        };
        let owners: BTreeSet<Member> = self
            .claims
            .owners()
            .map(|(_, owner)| owner.member)
            .collect();
        self.depose_attempts
            .retain(|target, _| owners.contains(target));
        for target in owners {
            let is_alive =
                self.peers.alive.contains(&target) || self.successors.contains_key(&target);
            if self.is_mine(target) || is_alive {
                self.depose_attempts.remove(&target);
                continue;
            }
            let now_ms = self.now_ms;
            let attempt = self
                .depose_attempts
                .entry(target)
                .or_insert_with(|| DeposeAttempt {
                    since_ms: now_ms,
                    ..DeposeAttempt::default()
                });
            if attempt.is_submitted || now_ms < attempt.since_ms + rank as u64 * TURN_MS {
                continue;
            }
            let asked_ms = now_ms;
            for voter in self.voters().to_vec() {
                self.send(voter, Message::ConsentRequest { target, asked_ms });
            }
        }
    }

    fn handle_consent(&mut self, voter: Member, target: Member, asked_ms: u64) {
        let now_ms = self.now_ms;
        let quorum = self.voters().len() / 2 + 1;
        let Some(attempt) = self.depose_attempts.get_mut(&target) else {
            return;
        };
        attempt.consents.insert(voter, asked_ms);
        // A voter that restarts loses its record of a consent, but then abstains
        // for longer than a consent is valid. All consents counted below were
        // therefore in effect at the same time.
        attempt
            .consents
            .retain(|_, asked_ms| now_ms < *asked_ms + CONSENT_MS);
        let count = attempt.consents.len();
        if attempt.is_submitted || count < quorum {
            return;
        }
        attempt.is_submitted = true;
        let mut voters: Vec<Member> = attempt.consents.keys().copied().collect();
        voters.sort_unstable();
        let voters = voters.into();
        self.claims_writer
            .push(now_ms, Record::Depose { target, voters });
    }
}
