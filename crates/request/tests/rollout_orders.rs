//! Rollouts whose leader knows only a part of the fleet.

#![allow(clippy::expect_used)]

use std::{collections::BTreeSet, time::Duration};

use dw_request::{
    Evidence, EvidenceReport, RolloutAction, RolloutInput, RolloutLeader, RolloutOrder,
    RolloutPolicy, RolloutState, RolloutStep, VersionHistory, VersionShare,
};
use dw_tables::Name;
use googletest::prelude::*;
use tokio::time::Instant;

const SERVICE: &str = "tally";

/// Time limit of the orders in ms.
const DURATION: u64 = 12_000;

/// When the first input arrives, in ms since the Unix epoch.
const START: u64 = 1_800_000_000_000;

fn order(id: u64, version: &str) -> RolloutOrder {
    let version = version.into();
    RolloutOrder { id, version, duration: DURATION, paused: false, aborted: false }
}

fn versions(names: &[&str]) -> BTreeSet<Option<Name>> {
    names.iter().map(|version| Some(Name::from(*version))).collect()
}

/// The members of a fleet in which the same versions were live for some time.
fn members(hosts: &[&str], live: &[&str]) -> RolloutInput {
    let hosts = hosts.iter().map(|host| Name::from(*host)).collect();
    RolloutInput::Members { hosts, versions: versions(live), recent: Some(versions(live)) }
}

/// The part of the store that leaders use.
#[derive(Default)]
struct Store {
    state: Option<RolloutState>,
    revision: u64,
    relays: BTreeSet<Name>,
}

impl Store {
    fn with_relays(relays: &[&str]) -> Self {
        Self { relays: relays.iter().map(|host| Name::from(*host)).collect(), ..Self::default() }
    }

    fn step(&self) -> Option<RolloutStep> {
        self.state.as_ref().map(|state| state.step)
    }

    /// Passes an input to a leader and performs its actions; returns the share announced last.
    fn feed(
        &mut self,
        leader: &mut RolloutLeader,
        input: RolloutInput,
        now: u64,
    ) -> Option<VersionShare> {
        let mut inputs = vec![input];
        let mut announced = None;
        while let Some(input) = inputs.pop() {
            for action in leader.handle(input, now) {
                match action {
                    RolloutAction::Announce(share) => announced = Some(share),
                    RolloutAction::Read => inputs.push(RolloutInput::State {
                        state: self.state.clone(),
                        revision: self.revision,
                    }),
                    RolloutAction::ReadRelays => {
                        inputs.push(RolloutInput::Relays(self.relays.clone()));
                    }
                    RolloutAction::Write { revision, .. } if revision != self.revision => {
                        inputs.push(RolloutInput::Conflict);
                    }
                    RolloutAction::Write { state, .. } => {
                        self.state = Some(state);
                        self.revision += 1;
                        inputs.push(RolloutInput::Stored { revision: self.revision });
                    }
                }
            }
        }
        announced
    }

    /// The report of a daemon that follows the stored share.
    fn report(&self, host: &str, old_live: bool) -> RolloutInput {
        let state = self.state.as_ref().expect("state");
        RolloutInput::Report(EvidenceReport {
            host: host.into(),
            incarnation: 1,
            service: SERVICE.into(),
            epoch: state.share(&SERVICE.into(), &RolloutPolicy::default()).epoch,
            stopped: false,
            old_open: 0,
            old_live,
            evidence: Evidence::default(),
        })
    }
}

fn leader() -> RolloutLeader {
    RolloutLeader::new(SERVICE.into(), RolloutPolicy::default())
}

/// Guards against a bad version that is completed without a test, because a daemon that started without the store
/// knows no target of another version, and leads.
#[gtest]
fn a_leader_that_does_not_reach_the_relays_completes_nothing() {
    let mut store = Store::with_relays(&["old-0", "old-1"]);
    let mut alone = leader();
    store.feed(&mut alone, members(&["new-0"], &["v2"]), START);
    store.feed(&mut alone, RolloutInput::Order(order(1, "v2")), START);
    for after in (100..DURATION).step_by(100) {
        let report = store.report("new-0", false);
        store.feed(&mut alone, report, START + after);
        expect_that!(store.step(), some(eq(RolloutStep::Canary)), "{after} ms");
    }
}

/// Guards against a list of relays that no daemon could claim, as after the store was away, that counts as a fleet
/// of one.
#[gtest]
fn an_empty_list_of_relays_proves_nothing() {
    let mut store = Store::default();
    let mut alone = leader();
    store.feed(&mut alone, members(&["new-0"], &["v2"]), START);
    store.feed(&mut alone, RolloutInput::Order(order(1, "v2")), START);
    let report = store.report("new-0", false);
    store.feed(&mut alone, report, START + 50);
    expect_that!(store.step(), some(eq(RolloutStep::Canary)));
}

/// Guards against an order for the only version that waits for a comparison with another one, and against one that
/// completes before every daemon has said that it knows no other version.
#[gtest]
fn the_only_version_completes_once_the_fleet_was_asked() {
    let mut store = Store::with_relays(&["a", "b"]);
    let mut leader = leader();
    store.feed(&mut leader, members(&["a", "b"], &["v1"]), START);
    store.feed(&mut leader, RolloutInput::Order(order(1, "v1")), START);
    let reports = [store.report("a", false), store.report("b", true), store.report("b", false)];
    let steps = reports.map(|report| {
        store.feed(&mut leader, report, START + 50);
        store.step().expect("state")
    });
    use RolloutStep::{Canary, Complete};
    expect_that!(steps, eq([Canary, Canary, Complete]));
}

/// Guards against a version that is taken for the only one because the hosts of the others were restarted a moment
/// ago, or because the leader's own process was.
#[gtest]
fn a_version_that_was_live_seconds_ago_is_not_forgotten() {
    let start = Instant::now();
    let after = |seconds| start + Duration::from_secs(seconds);
    let service = Name::from(SERVICE);
    let live = |names: &[&str]| -> Vec<_> {
        versions(names).into_iter().map(|version| (service.clone(), version)).collect()
    };
    let mut history = VersionHistory::new(start);
    history.set_live(live(&["v1", "v2"]), after(1));
    expect_that!(history.recent(&service, after(9)), none());
    expect_that!(history.recent(&service, after(60)), some(eq(&versions(&["v1", "v2"]))));
    history.set_live(live(&["v2"]), after(60));
    expect_that!(history.recent(&service, after(69)), some(eq(&versions(&["v1", "v2"]))));
    expect_that!(history.recent(&service, after(70)), some(eq(&versions(&["v2"]))));
    expect_that!(history.recent(&"ledger".into(), after(70)), some(is_empty()));

    let mut store = Store::with_relays(&["a"]);
    let mut leader = leader();
    let hosts: BTreeSet<_> = [Name::from("a")].into();
    for (at, recent, step) in [
        (START, None, RolloutStep::Canary),
        (START + 5000, Some(versions(&["v1", "v2"])), RolloutStep::Canary),
        (START + 10_000, Some(versions(&["v2"])), RolloutStep::Complete),
    ] {
        let versions = versions(&["v2"]);
        let members = RolloutInput::Members { hosts: hosts.clone(), versions, recent };
        store.feed(&mut leader, members, at);
        store.feed(&mut leader, RolloutInput::Order(order(1, "v2")), at);
        let report = store.report("a", false);
        store.feed(&mut leader, report, at);
        expect_that!(store.step(), some(eq(step)));
    }
}
