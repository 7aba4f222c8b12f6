//! The state of the other hosts in the roster.
//!
//! The platform's list of hosts may be out of date, so it is combined with direct evidence and
//! with rumors from peers. A wrong assumption about a host only reduces efficiency.

use std::time::Duration;

use rattanmast_model::{
    catalog::Hosts,
    config,
    exchange::{Digest, Liveness, MAX_RUMORS, Rumor},
    hash::Map,
    host::{Host, Incarnation, Name, State},
};
use tokio::time::Instant;

/// Time for which direct evidence takes precedence over a rumor.
const DIRECT_EVIDENCE_TTL: Duration = Duration::from_secs(1);

/// Maximum number of queued rumors; those sent most often are dropped first.
const MAX_QUEUED_RUMORS: usize = 256;

/// The known state of one host.
#[derive(Clone, Debug, Default)]
struct Member {
    incarnation: Incarnation,
    counter: u32,
    liveness: Option<Liveness>,
    heard_at: Option<Instant>,
    config_version: config::Version,
    platform_down: bool,
    /// The host's state in the platform's list, and when it last changed.
    registration: Option<(Registration, Instant)>,
}

/// The state of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Registration {
    Live,
    Leaving,
    Absent,
}

impl Member {
    /// Returns the precedence of the known state, comparable to that of a rumor.
    fn precedence(&self) -> (Incarnation, bool, u32, Option<Liveness>) {
        let leaving = self.liveness == Some(Liveness::Leaving);
        (self.incarnation, leaving, self.counter, self.liveness)
    }

    fn usable(&self) -> bool {
        let newer = self
            .registration
            .filter(|(_, at)| self.heard_at.is_none_or(|h| h < *at));
        match self.liveness {
            Some(Liveness::Suspect | Liveness::Leaving) => false,
            _ => newer.is_none_or(|(r, _)| r == Registration::Live),
        }
    }
}

/// Returns the precedence of a rumor; the state with the greatest precedence wins.
fn precedence(rumor: &Rumor) -> (Incarnation, bool, u32, Option<Liveness>) {
    let leaving = rumor.state == Liveness::Leaving;
    (rumor.incarnation, leaving, rumor.counter, Some(rumor.state))
}

/// The known state of the other hosts in the roster.
#[derive(Debug)]
pub struct Members {
    me: Name,
    incarnation: Incarnation,
    counter: u32,
    leaving: bool,
    members: Map<Name, Member>,
    /// The rumors to send, each with the number of digests left to carry it.
    queued: Vec<(Rumor, u32)>,
}

impl Members {
    /// Creates an empty member list for `incarnation` of the host `me`.
    pub fn new(me: Name, incarnation: Incarnation) -> Self {
        let mut members = Self {
            me,
            incarnation,
            counter: 0,
            leaving: false,
            members: Map::default(),
            queued: Vec::new(),
        };
        members.announce_self();
        members
    }

    /// Replaces the roster, keeping the state of hosts that remain.
    pub fn set_roster(&mut self, hosts: &[Host]) {
        let mut old = std::mem::take(&mut self.members);
        let others = hosts.iter().filter(|h| h.name != self.me);
        self.members = others
            .map(|h| (h.name.clone(), old.remove(&h.name).unwrap_or_default()))
            .collect();
        let members = &self.members;
        let me = &self.me;
        self.queued
            .retain(|(r, _)| r.host == *me || members.contains_key(&r.host));
    }

    /// Merges the platform's list of hosts; an empty list is ignored.
    pub fn merge_host_list(&mut self, hosts: &Hosts, now: Instant) {
        if hosts.hosts.is_empty() {
            return;
        }
        let list: Map<&Name, State> = hosts.hosts.iter().map(|(n, s)| (n, *s)).collect();
        for (name, member) in &mut self.members {
            let registration = match list.get(name) {
                Some(State::Live) => Registration::Live,
                Some(State::Leaving) => Registration::Leaving,
                None => Registration::Absent,
            };
            if member.registration.is_none_or(|(r, _)| r != registration) {
                member.registration = Some((registration, now));
            }
        }
    }

    /// Merges a host's own digest; returns whether peers should be notified.
    pub fn merge_digest(&mut self, digest: &Digest, now: Instant) -> bool {
        let Some(member) = self.members.get_mut(&digest.host) else {
            return false;
        };
        if digest.incarnation < member.incarnation {
            return false;
        }
        let (known, before) = (member.incarnation, member.liveness);
        let restarted = digest.incarnation > known;
        if restarted {
            member.incarnation = digest.incarnation;
            member.counter = 0;
        }
        // A host that announced that it is leaving does not come back in the same incarnation.
        let has_left = before == Some(Liveness::Leaving) && !restarted;
        let state = match digest.leaving || has_left {
            true => Liveness::Leaving,
            false => Liveness::Alive,
        };
        member.liveness = Some(state);
        member.heard_at = Some(now);
        member.config_version = digest.config;
        member.platform_down = digest.down;

        // The first contact with a host does not create a rumor, because such rumors would crowd
        // out all others while a whole fleet starts.
        let changed = (restarted && known != Incarnation::default())
            || (state == Liveness::Leaving && before != Some(state));
        if changed {
            let rumor = Rumor {
                host: digest.host.clone(),
                incarnation: digest.incarnation,
                counter: member.counter,
                state,
            };
            self.queue_rumor(rumor);
        }
        changed
    }

    /// Records that a host replied to a call other than an exchange.
    pub fn record_answer(&mut self, host: &Name, incarnation: Incarnation, now: Instant) {
        let Some(member) = self.members.get_mut(host) else {
            return;
        };
        if incarnation < member.incarnation {
            return;
        }
        let restarted = incarnation > member.incarnation;
        member.incarnation = incarnation;
        member.heard_at = Some(now);
        if restarted || member.liveness == Some(Liveness::Suspect) {
            member.liveness = Some(Liveness::Alive);
        }
    }

    /// Records that a host did not reply; returns whether it is newly suspected.
    pub fn record_failure(&mut self, host: &Name) -> bool {
        let Some(member) = self.members.get_mut(host) else {
            return false;
        };
        if !matches!(member.liveness, None | Some(Liveness::Alive)) {
            return false;
        }
        member.liveness = Some(Liveness::Suspect);
        let rumor = Rumor {
            host: host.clone(),
            incarnation: member.incarnation,
            counter: member.counter,
            state: Liveness::Suspect,
        };
        self.queue_rumor(rumor);
        true
    }

    /// Merges a rumor if it is newer than the known state; returns whether it was.
    pub fn merge_rumor(&mut self, rumor: &Rumor, now: Instant) -> bool {
        if rumor.host == self.me {
            return self.refute(rumor);
        }
        let Some(member) = self.members.get_mut(&rumor.host) else {
            return false;
        };
        let recent = member
            .heard_at
            .is_some_and(|h| now.duration_since(h) < DIRECT_EVIDENCE_TTL);
        let contradicted = recent && member.incarnation == rumor.incarnation;
        if precedence(rumor) <= member.precedence()
            || (contradicted && rumor.state == Liveness::Suspect)
        {
            return false;
        }
        member.incarnation = rumor.incarnation;
        member.counter = rumor.counter;
        member.liveness = Some(rumor.state);
        self.queue_rumor(rumor.clone());
        true
    }

    /// Refutes a suspicion of this host with a higher counter; returns whether it did.
    fn refute(&mut self, rumor: &Rumor) -> bool {
        let must_refute = rumor.incarnation == self.incarnation
            && rumor.state == Liveness::Suspect
            && rumor.counter >= self.counter;
        if must_refute {
            self.counter = rumor.counter.saturating_add(1);
            self.announce_self();
        }
        must_refute
    }

    /// Marks this host as leaving, and returns the rumor that announces it.
    pub fn leave(&mut self) -> Rumor {
        self.leaving = true;
        self.announce_self()
    }

    /// Returns whether this host is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    fn announce_self(&mut self) -> Rumor {
        let rumor = Rumor {
            host: self.me.clone(),
            incarnation: self.incarnation,
            counter: self.counter,
            state: match self.leaving {
                true => Liveness::Leaving,
                false => Liveness::Alive,
            },
        };
        self.queue_rumor(rumor.clone());
        rumor
    }

    /// Queues a rumor for the number of digests that it takes to reach the whole fleet.
    fn queue_rumor(&mut self, rumor: Rumor) {
        let transmissions = 3 * (self.members.len() + 2).ilog2() + 3;
        self.queued.retain(|(r, _)| r.host != rumor.host);
        self.queued.push((rumor, transmissions));
        if self.queued.len() > MAX_QUEUED_RUMORS {
            self.queued.sort_by_key(|w| std::cmp::Reverse(w.1));
            self.queued.truncate(MAX_QUEUED_RUMORS);
        }
    }

    /// Returns the rumors for a digest to `peer`, those sent least often first.
    ///
    /// A suspicion of `peer` itself goes first, so that the peer can refute it.
    pub fn take_rumors(&mut self, peer: Option<&Name>) -> Vec<Rumor> {
        let mut list = Vec::new();
        let suspect = |m: &&Member| m.liveness == Some(Liveness::Suspect);
        if let Some((name, m)) = peer.and_then(|p| Some((p, self.members.get(p).filter(suspect)?)))
        {
            list.push(Rumor {
                host: name.clone(),
                incarnation: m.incarnation,
                counter: m.counter,
                state: Liveness::Suspect,
            });
        }
        self.queued.sort_by_key(|w| std::cmp::Reverse(w.1));
        let room = MAX_RUMORS - list.len();
        for (rumor, transmissions) in self.queued.iter_mut().take(room) {
            *transmissions -= 1;
            list.push(rumor.clone());
        }
        self.queued.retain(|w| w.1 > 0);
        list
    }

    /// Returns whether a host is considered alive and is not leaving.
    pub fn usable(&self, host: &Name) -> bool {
        if *host == self.me {
            return !self.leaving;
        }
        self.members.get(host).is_some_and(Member::usable)
    }

    /// Returns whether a host is usable and did not report that it can't reach the platform.
    pub fn reaches_platform(&self, host: &Name) -> bool {
        self.usable(host) && self.members.get(host).is_none_or(|m| !m.platform_down)
    }

    /// Returns the incarnation of a host, if it is known.
    pub fn incarnation(&self, host: &Name) -> Option<Incarnation> {
        if *host == self.me {
            return Some(self.incarnation);
        }
        let known = self.members.get(host).map(|m| m.incarnation);
        known.filter(|i| *i != Incarnation::default())
    }

    /// Returns the configuration version that each host last reported, sorted by host.
    pub fn heard_versions(&self) -> Vec<(Name, config::Version)> {
        let heard = self.members.iter().filter(|(_, m)| m.heard_at.is_some());
        let mut list: Vec<_> = heard.map(|(n, m)| (n.clone(), m.config_version)).collect();
        list.sort_unstable();
        list
    }

    /// Returns the hosts that are not usable, sorted by name.
    pub fn unusable(&self) -> Vec<Name> {
        let bad = self.members.iter().filter(|(_, m)| !m.usable());
        let mut list: Vec<Name> = bad.map(|(n, _)| n.clone()).collect();
        list.sort_unstable();
        list
    }
}
