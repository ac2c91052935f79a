use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use dw_tables::{Name, VersionId};
use dw_wire::{Applied, FrameBody, Offer};
use tokio::time::Instant;

use crate::{
    Counter, Node,
    convert::{version_id_from_wire, version_id_to_wire},
    hash,
    timer::Timer,
};

/// Time after which a child that has not answered its offer is given up.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time without a report after which a child that has answered but not finished is given up.
const CHILD_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between the reports of a node whose subtree has not finished.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of trees that a node is part of at the same time: one for each relay, and some older ones
/// that are about to finish.
const TREES_LIMIT: usize = 8;

/// Maximum number of hosts in each list of a report.
const NAMES_LIMIT: usize = 32;

/// A child and the state of its subtree.
#[derive(Debug)]
struct Child {
    host: Name,
    lo: u64,
    hi: u64,
    last_heard: Instant,
    answered: bool,
    /// The last report of the child.
    report: Applied,
}

/// The state of a node in one distribution tree.
#[derive(Debug)]
pub(crate) struct Tree {
    epoch: u64,
    version_id: VersionId,
    parent: Option<SocketAddr>,
    lo: u64,
    hi: u64,
    /// Whether the offer was forwarded to the children.
    forwarded: bool,
    children: BTreeMap<SocketAddr, Child>,
    /// Children that did not answer, and whose own children this node has adopted.
    failed: BTreeSet<Name>,
    /// Children that declined the version, and whose own children this node has adopted.
    declined: BTreeSet<Name>,
    /// The last report that was sent to the parent.
    last_report: Option<Applied>,
    report_at: Instant,
}

impl Tree {
    /// Extends all timeouts by the duration of a pause of the process.
    pub(crate) fn shift(&mut self, late: Duration) {
        for child in self.children.values_mut() {
            child.last_heard += late;
        }
    }

    fn done(&self) -> bool {
        self.forwarded && self.children.values().all(|child| child.report.done)
    }

    fn skipped_hosts(&self) -> BTreeSet<Name> {
        self.failed.union(&self.declined).cloned().collect()
    }

    fn next_deadline(&self) -> Option<Instant> {
        let child = self
            .children
            .values()
            .filter(|child| !child.report.done)
            .map(|child| {
                child.last_heard + if child.answered { CHILD_TIMEOUT } else { OFFER_TIMEOUT }
            })
            .min();
        let report =
            (self.parent.is_some() && self.forwarded && !self.done()).then_some(self.report_at);
        child.into_iter().chain(report).min()
    }
}

impl Node {
    /// As a relay, or as a standby in place of the relays, offers the version served to the domain.
    pub(crate) fn start_tree(&mut self) {
        let version_id = self.store.served_id();
        if !self.offers_version() || version_id.number == 0 {
            return;
        }
        let root = self.me.host.clone();
        let last = self.trees.get(&root).map_or(0, |tree| tree.epoch);
        let tree = self.new_tree(last.max(self.me.incarnation) + 1, version_id, None, 0, u64::MAX);
        self.trees.insert(root.clone(), tree);
        self.forward_offer(&root);
    }

    fn new_tree(
        &self,
        epoch: u64,
        version_id: VersionId,
        parent: Option<SocketAddr>,
        lo: u64,
        hi: u64,
    ) -> Tree {
        Tree {
            epoch,
            version_id,
            parent,
            lo,
            hi,
            forwarded: false,
            children: BTreeMap::new(),
            failed: BTreeSet::new(),
            declined: BTreeSet::new(),
            last_report: None,
            report_at: self.now + REPORT_INTERVAL,
        }
    }

    pub(crate) fn on_offer(&mut self, from: SocketAddr, offer: &Offer) {
        let Some(version_id) = version_id_from_wire(offer.version_id.as_ref()) else {
            self.count(Counter::BadMessage);
            return;
        };
        let served = self.store.served_id();
        let fork = version_id.number == served.number && version_id.hash != served.hash;
        if fork {
            self.may_follow(version_id, None);
        }
        if offer.lo > offer.hi {
            return;
        }
        if fork || self.was_refused(version_id) {
            self.decline(from, offer);
            return;
        }
        let root = Name::new(&offer.root);
        if let Some(tree) = self.trees.get_mut(&root) {
            if tree.epoch > offer.epoch {
                return;
            }
            if tree.epoch == offer.epoch && (tree.lo, tree.hi) == (offer.lo, offer.hi) {
                // The offer was repeated, or this node was adopted by another parent.
                tree.parent = Some(from);
                tree.last_report = None;
                self.report(&root);
                return;
            }
        } else if self.trees.len() >= TREES_LIMIT {
            let oldest = self.trees.iter().min_by_key(|(_, tree)| tree.version_id.number);
            let oldest = oldest.map(|(root, _)| root.clone());
            oldest.and_then(|root| self.trees.remove(&root));
        }
        let tree = self.new_tree(offer.epoch, version_id, Some(from), offer.lo, offer.hi);
        self.trees.insert(root.clone(), tree);
        if served.number >= version_id.number {
            self.forward_offer(&root);
        } else {
            self.compare_number(from, version_id.number);
            self.report(&root);
        }
    }

    /// Tells the parent that this node does not accept the version.
    fn decline(&mut self, to: SocketAddr, offer: &Offer) {
        let report = Applied {
            host: self.me.host.to_string(),
            root: offer.root.clone(),
            epoch: offer.epoch,
            version_id: Some(version_id_to_wire(self.store.served_id())),
            declined: true,
            ..Applied::default()
        };
        self.send(to, FrameBody::Applied(report));
    }

    /// Forwards all pending offers whose version this node serves by now.
    pub(crate) fn forward_offers(&mut self) {
        let number = self.store.served_id().number;
        let ready = |tree: &Tree| !tree.forwarded && tree.version_id.number <= number;
        let roots: Vec<_> =
            self.trees.iter().filter(|(_, t)| ready(t)).map(|(root, _)| root.clone()).collect();
        for root in roots {
            self.forward_offer(&root);
        }
    }

    fn forward_offer(&mut self, root: &Name) {
        let Some(tree) = self.trees.get_mut(root) else { return };
        tree.forwarded = true;
        let (lo, hi) = (tree.lo, tree.hi);
        self.offer_range(root, lo, hi);
        self.report(root);
    }

    /// Splits a range and offers the tree's version to the head of each part.
    fn offer_range(&mut self, root: &Name, lo: u64, hi: u64) {
        let Some(tree) = self.trees.get(root) else { return };
        let (epoch, version_id, skip) = (tree.epoch, tree.version_id, tree.skipped_hosts());
        let key = [root.as_bytes(), &version_id.number.to_be_bytes()].concat();
        let branches = self.branches(&key, lo, hi, &skip);
        let Some(tree) = self.trees.get_mut(root) else { return };
        for branch in &branches {
            let (host, lo, hi) = (branch.host.clone(), branch.lo, branch.hi);
            let report = Applied::default();
            let child = Child { host, lo, hi, last_heard: self.now, answered: false, report };
            tree.children.insert(branch.peer, child);
        }
        for branch in branches {
            let offer = Offer {
                root: root.to_string(),
                epoch,
                version_id: Some(version_id_to_wire(version_id)),
                lo: branch.lo,
                hi: branch.hi,
            };
            self.send(branch.peer, FrameBody::Offer(offer));
        }
        self.schedule_trees();
    }

    pub(crate) fn on_applied(&mut self, from: SocketAddr, report: &Applied) {
        if let Some(version_id) = version_id_from_wire(report.version_id.as_ref()) {
            if let Some(started) = self.roster.get(&report.host).map(|m| m.started) {
                self.acks.record(
                    &report.host,
                    started,
                    version_id.number,
                    version_id.hash.prefix(),
                );
            }
            self.compare_number(from, version_id.number);
        }
        let root = Name::new(&report.root);
        let now = self.now;
        let Some(tree) = self.trees.get_mut(&root).filter(|tree| tree.epoch == report.epoch) else {
            return;
        };
        let Some(child) = tree.children.get_mut(&from) else { return };
        child.last_heard = now;
        child.answered = true;
        if report.declined {
            tree.declined.insert(child.host.clone());
            self.adopt(&root, from);
            return;
        }
        child.report = Applied {
            behind: report.behind.iter().take(NAMES_LIMIT).cloned().collect(),
            unreachable: report.unreachable.iter().take(NAMES_LIMIT).cloned().collect(),
            ..report.clone()
        };
        if tree.parent.is_none() && report.done {
            self.acknowledge_subtree(&root, from);
            self.announce_complete();
        }
        self.report(&root);
        self.schedule_trees();
    }

    /// As the root, records that all members of a finished subtree have acknowledged the version, if the
    /// count and checksum of the report match the members that this node knows in that range. If they do not,
    /// the audit probes these members.
    fn acknowledge_subtree(&mut self, root: &Name, from: SocketAddr) {
        let Some(tree) = self.trees.get(root) else { return };
        let Some(child) = tree.children.get(&from) else { return };
        let key = [root.as_bytes(), &tree.version_id.number.to_be_bytes()].concat();
        let named = child.report.behind.iter().chain(&child.report.unreachable);
        let mut skip: BTreeSet<Name> = named.map(|name| name.as_str().into()).collect();
        skip.extend(tree.skipped_hosts());
        skip.insert(self.me.host.clone());
        // Members outside the child's range belong to other children of the root and are not counted here.
        let (mut sum, mut count, mut hosts) = (0_u64, 0, Vec::new());
        for member in self.roster.live(&self.me.domain) {
            let rank = hash::rank(&key, &member.host);
            if (child.lo..=child.hi).contains(&rank) && !skip.contains(&member.host) {
                sum = sum.wrapping_add(hash::process(&member.host, member.started));
                count += 1;
                hosts.push((member.host.clone(), member.started));
            }
        }
        if sum != child.report.sum || count != child.report.count {
            return;
        }
        let version_id = tree.version_id;
        for (host, started) in hosts {
            self.acks.record(&host, started, version_id.number, version_id.hash.prefix());
        }
    }

    /// Reports the totals of the subtree to the parent: immediately when the subtree has finished, otherwise
    /// once a second.
    fn report(&mut self, root: &Name) {
        let Some(tree) = self.trees.get_mut(root) else { return };
        let Some(parent) = tree.parent else { return };
        let done = tree.done();
        let first = tree.last_report.is_none();
        if !done && !first && self.now < tree.report_at {
            return;
        }
        let mut report = Applied {
            host: self.me.host.to_string(),
            root: root.to_string(),
            epoch: tree.epoch,
            version_id: Some(version_id_to_wire(self.store.served_id())),
            done,
            ..Applied::default()
        };
        if tree.forwarded {
            report.count = 1;
            report.sum = hash::process(&self.me.host, self.me.started);
        }
        for child in tree.children.values() {
            report.count = report.count.saturating_add(child.report.count);
            report.sum = report.sum.wrapping_add(child.report.sum);
            report.behind.extend(child.report.behind.iter().cloned());
            report.unreachable.extend(child.report.unreachable.iter().cloned());
        }
        report.behind.extend(tree.declined.iter().map(ToString::to_string));
        report.unreachable.extend(tree.failed.iter().map(ToString::to_string));
        report.behind.truncate(NAMES_LIMIT);
        report.unreachable.truncate(NAMES_LIMIT);
        tree.report_at = self.now + REPORT_INTERVAL;
        if done && tree.last_report.as_ref() == Some(&report) {
            return;
        }
        tree.last_report = Some(report.clone());
        self.send(parent, FrameBody::Applied(report));
    }

    /// Gives up children that do not answer, and sends the reports that are due.
    pub(crate) fn run_trees(&mut self) {
        let now = self.now;
        let mut late = Vec::new();
        for (root, tree) in &self.trees {
            for (addr, child) in &tree.children {
                let wait = if child.answered { CHILD_TIMEOUT } else { OFFER_TIMEOUT };
                if !child.report.done && child.last_heard + wait <= now {
                    late.push((root.clone(), *addr));
                }
            }
        }
        for (root, addr) in late {
            self.give_up(&root, addr);
        }
        let roots: Vec<_> = self.trees.keys().cloned().collect();
        for root in roots {
            self.report(&root);
        }
        self.schedule_trees();
    }

    fn schedule_trees(&mut self) {
        if let Some(next) = self.trees.values().filter_map(Tree::next_deadline).min() {
            self.timers.set(Timer::Tree, next.max(self.now + Duration::from_millis(1)));
        }
    }

    /// Gives up a peer as a child in all trees in which its subtree has not finished.
    pub(crate) fn give_up_child(&mut self, addr: SocketAddr) {
        let open = |tree: &Tree| tree.children.get(&addr).is_some_and(|c| !c.report.done);
        let roots: Vec<_> =
            self.trees.iter().filter(|(_, t)| open(t)).map(|(root, _)| root.clone()).collect();
        for root in roots {
            self.give_up(&root, addr);
        }
    }

    fn give_up(&mut self, root: &Name, addr: SocketAddr) {
        if let Some(tree) = self.trees.get_mut(root)
            && let Some(child) = tree.children.get(&addr)
        {
            tree.failed.insert(child.host.clone());
        }
        self.adopt(root, addr);
    }

    /// Removes a child and offers the version to the members of its range directly.
    fn adopt(&mut self, root: &Name, addr: SocketAddr) {
        let Some(tree) = self.trees.get_mut(root) else { return };
        let Some(child) = tree.children.remove(&addr) else { return };
        self.count(Counter::Adopted);
        self.offer_range(root, child.lo, child.hi);
        self.report(root);
    }

    /// Whether the tree rooted at this node has finished, or there is none.
    pub(crate) fn tree_done(&self) -> bool {
        self.trees.get(&self.me.host).is_none_or(Tree::done)
    }
}
