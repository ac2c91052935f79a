//! One test for each fault that the control plane must survive.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use dw_mesh::{
    Counter, Fingerprint, LocalEvent, MemberState, PlatformCallKind, PresetName, RolloutState,
};
use dw_tables::Hash;
use harness::{World, versions::version};

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn world(seed: u64) -> World {
    World::started(seed, PresetName::Verband, &[5, 4, 4])
}

/// Guards against a daemon that serves nothing because it has no peers.
#[test]
fn lone_daemon_serves_the_platform_head() {
    World::started(1, PresetName::Verband, &[1]);
}

/// Guards against the first host of a domain never serving a version. The peer in another domain through which
/// it joined had no version yet, and afterwards the host asked only peers in its own domain.
#[test]
fn first_host_of_a_domain_without_the_platform_serves() {
    let mut world = World::new(26, PresetName::Verband, &[1, 1]);
    world.cut_platform(&[1]);
    (0..2).for_each(|id| world.start(id));
    world.apply();
    world.run(secs(10));
    assert_eq!(world.hosts[1].served.number, world.hosts[0].served.number);
    assert!(world.hosts[1].served.number > 0);
}

/// Guards against a fleet that does not converge even without faults, and against changes that take longer than
/// the documented 4 s.
#[test]
fn fleet_converges() {
    for preset in [PresetName::Cooperative, PresetName::Verband] {
        let mut world = World::started(2, preset, &[5, 4, 4]);
        for _ in 0..5 {
            world.apply();
            world.run(secs(4));
            world.expect_converged();
        }
    }
}

/// Guards against queued versions that are distributed one by one.
#[test]
fn burst_of_changes_collapses_to_the_newest() {
    let mut world = world(3);
    let before = world.total(Counter::Published);
    for _ in 0..50 {
        world.apply();
        world.run(Duration::from_millis(1));
    }
    world.run(secs(5));
    world.expect_converged();
    let published = world.total(Counter::Published) - before;
    assert!(published < 13 * 25, "{published} versions published by 13 nodes for 50 changes");
}

/// Guards against a domain that remains without relays when both die at once.
#[test]
fn relays_die_together() {
    let mut world = world(4);
    let lost: Vec<_> =
        world.relays().into_iter().filter(|id| world.domain("domain-0").contains(id)).collect();
    assert_eq!(lost.len(), 2);
    lost.iter().for_each(|id| world.crash(*id));
    world.apply();
    world.run(secs(25));
    world.expect_converged();
    lost.iter().for_each(|id| world.start(*id));
    world.run(secs(15));
    world.expect_converged();
}

/// Guards against a change that is delayed until the leases of two dead relays expire.
#[test]
fn standby_distributes_when_both_relays_die() {
    let mut world = world(25);
    let lost = world.relays();
    assert_eq!(lost.len(), 6);
    lost.iter().for_each(|id| world.crash(*id));
    world.apply();
    world.run(secs(4));
    let held = world.hosts.iter().filter(|host| host.served.number == 2).count();
    assert_eq!(held, 7, "all hosts but the dead relays have the change");
    assert!(world.total(Counter::StandbyRead) > 0);
}

/// Guards against a change that is delayed until one dead relay is replaced.
#[test]
fn other_relay_distributes_when_one_dies() {
    let mut world = world(5);
    let lost = world.relays()[0];
    world.crash(lost);
    world.apply();
    world.run(secs(4));
    let newest = 2;
    let held = world.hosts.iter().filter(|host| host.served.number == newest).count();
    assert_eq!(held, 12, "all hosts but the dead relay have the change");
}

/// Guards against a domain whose hosts all restart at once, and which then remains without members, relays or a
/// version.
#[test]
fn whole_domain_restarts_at_once() {
    let mut world = world(6);
    let restarted = world.domain("domain-0");
    restarted.iter().for_each(|id| world.crash(*id));
    world.apply();
    world.run(secs(1));
    restarted.iter().for_each(|id| world.start(*id));
    world.run(secs(25));
    world.expect_converged();
}

/// Guards against a platform outage that stops hosts from serving, keeps new hosts out, or ends in a burst of
/// calls.
#[test]
fn platform_is_down_for_an_hour() {
    let mut world = world(7);
    world.set_platform_down(true);
    world.run(secs(1_800));
    world.crash(4);
    world.run(secs(2));
    world.start(4);
    world.run(secs(20));
    assert_eq!(world.hosts[4].served.number, 1, "a new host gets the version of its peers");
    world.run(secs(1_778));
    world.expect_converged();
    world.platform.calls.clear();
    world.set_platform_down(false);
    world.run(secs(10));
    let calls: u64 = world.platform.calls.values().sum();
    assert!(calls < 200, "{calls} calls in 10 s after the outage: {:?}", world.platform.calls);
    world.apply();
    world.run(secs(5));
    world.expect_converged();
}

/// Guards against a number of platform calls that grows with the fleet.
#[test]
fn platform_calls_do_not_grow_with_the_fleet() {
    let calls = |sizes: &[usize]| {
        let mut world = World::started(8, PresetName::Verband, sizes);
        world.platform.calls.clear();
        world.run(secs(60));
        world.platform.calls.values().sum::<u64>()
    };
    let (small, large) = (calls(&[6, 6]), calls(&[24, 24]));
    assert!(large <= small * 5 / 4, "{small} calls for 12 hosts, {large} for 48");
}

/// Guards against a domain that receives no changes because it cannot reach the platform itself.
#[test]
fn domain_cut_off_from_the_platform_is_fed_by_others() {
    let mut world = world(9);
    let cut = world.domain("domain-1");
    world.cut_platform(&cut);
    world.run(secs(20));
    world.apply();
    world.run(secs(6));
    world.expect_converged();
}

/// Guards against a false `in-force` while a domain cannot be reached, and against a domain that stays behind
/// after the network partition ends.
#[test]
fn domains_are_cut_off_from_each_other() {
    let mut world = world(10);
    let (cut, rest) =
        (world.domain("domain-2"), [world.domain("domain-0"), world.domain("domain-1")].concat());
    world.cut(&cut, &rest);
    world.cut(&rest, &cut);
    world.cut_platform(&cut);
    world.apply();
    world.run(secs(30));
    for id in world.relays() {
        assert_eq!(world.status(id).state, RolloutState::Unknown, "{:?}", world.status(id));
    }
    assert!(cut.iter().all(|id| world.hosts[*id].served.number == 1));
    world.cuts.clear();
    world.platform.cut.clear();
    world.run(secs(30));
    world.expect_converged();
}

/// Guards against versions or members that diverge during a one-way partition between domains.
#[test]
fn one_way_cut_between_domains() {
    let mut world = world(11);
    let (a, b) = (world.domain("domain-0"), world.domain("domain-1"));
    world.cut(&a, &b);
    world.run(secs(10));
    world.apply();
    world.run(secs(20));
    assert!(world.hosts.iter().all(|host| host.served.number == 2));
    world.cuts.clear();
    world.run(secs(20));
    world.expect_converged();
}

/// Guards against a member that receives nothing and therefore has its whole domain declared dead.
#[test]
fn one_way_cut_of_a_member() {
    let mut world = world(12);
    let rest: Vec<_> = (0..13).filter(|id| *id != 3).collect();
    world.cut(&rest, &[3]);
    world.apply();
    world.run(secs(40));
    for id in [0, 1, 2, 4] {
        let node = world.hosts[id].node.as_ref().expect("running");
        let table = node.members();
        for peer in [0, 1, 2, 4] {
            let member = table.get("domain-0", &world.hosts[peer].cfg.host).expect("member");
            assert!(member.state <= MemberState::Suspect, "{id} considers {peer} {}", member.state);
        }
    }
    world.cuts.clear();
    world.run(secs(40));
    world.expect_converged();
}

/// Guards against two halves of a partitioned domain that declare each other dead and never reconnect.
#[test]
fn halves_of_a_partitioned_domain_reconnect() {
    let mut world = world(13);
    world.cut(&[0, 1], &[2, 3, 4]);
    world.cut(&[2, 3, 4], &[0, 1]);
    world.run(secs(60));
    world.apply();
    world.run(secs(10));
    world.cuts.clear();
    world.run(secs(60));
    world.expect_converged();
}

/// Guards against a paused process that, after it is resumed, suspects all members, distributes an old version,
/// or reports that version as in force.
#[test]
fn relay_is_paused_past_its_lease() {
    let mut world = world(14);
    let id = world.relays()[0];
    world.pause(id);
    world.run(secs(30));
    world.apply();
    world.run(secs(10));
    world.resume(id);
    world.run(secs(30));
    world.expect_converged();
    let suspected = world.hosts[id].counts.get(&Counter::Suspected).copied().unwrap_or(0);
    assert_eq!(suspected, 0, "the resumed process suspects no member");
}

/// Guards against a restarted host that serves a lower version than before, although peers know the higher one.
#[test]
fn restarted_host_does_not_go_back() {
    let mut world = world(15);
    world.apply();
    world.run(secs(5));
    let old = version(1, "accepted");
    world.set_platform_down(true);
    world.crash(3);
    world.run(secs(1));
    world.start(3);
    world.run(secs(10));
    assert_eq!(world.hosts[3].served.number, 2);
    world.set_platform_down(false);
    world.overwrite(&old, Hash::default());
    world.crash(3);
    world.start(3);
    world.run(secs(20));
    assert_eq!(world.hosts[3].served.number, 2);
    world.expect_converged();
}

/// Guards against the loss of an accepted change when the platform is restored from an older copy.
#[test]
fn lower_head_is_refused_and_republished() {
    let mut world = world(16);
    world.apply();
    world.apply();
    world.run(secs(5));
    world.overwrite(&version(1, "accepted"), Hash::default());
    world.run(secs(5));
    assert_eq!(world.platform.head.as_ref().map(|head| head.number), Some(3));
    assert!(world.total(Counter::RefusedLower) > 0);
    assert!(world.total(Counter::Republished) > 0);
    let shown = world
        .relays()
        .iter()
        .any(|id| world.status(*id).refused.iter().any(|refused| refused.version_id.number == 1));
    assert!(shown, "the refusal is shown");
    world.run(secs(5));
    world.expect_converged();
    world.apply();
    world.run(secs(5));
    world.expect_converged();
}

/// Guards against a lost head that leaves new hosts without a configuration.
#[test]
fn absent_head_is_republished() {
    let mut world = world(17);
    world.platform.head = None;
    world.run(secs(60));
    assert_eq!(world.platform.head.as_ref().map(|head| head.number), Some(1));
}

/// Guards against a republished head that names parts which do not exist, because the tables were split at
/// different sizes for the head and for the parts.
#[test]
fn head_of_large_tables_names_the_parts_written() {
    let mut world = World::started(28, PresetName::Verband, &[1]);
    world.rows = 9000;
    world.apply();
    world.run(secs(5));
    world.overwrite(&version(1, "accepted"), Hash::default());
    world.run(secs(5));
    assert!(world.total(Counter::Republished) > 0);
    assert!(world.platform.head.as_ref().is_some_and(|head| head.parts.len() > 1));
}

/// Guards against a fork that replaces the rows of an accepted version.
#[test]
fn fork_is_refused_and_shown() {
    let mut world = world(18);
    world.overwrite(&version(1, "fork"), Hash::default());
    world.run(secs(5));
    for id in world.relays() {
        assert_eq!(world.status(id).state, RolloutState::Refused);
    }
    world.overwrite(&version(2, "fork"), Hash::of(b"other"));
    world.run(secs(5));
    assert!(world.hosts.iter().all(|host| host.served.number == 1));
    assert!(world.total(Counter::RefusedFork) >= 2);
}

/// Guards against a head whose hash matches but whose tables are not valid.
#[test]
fn invalid_version_is_refused_whole() {
    let mut world = world(19);
    let mut bad = version(2, "bad");
    bad.tables.pools.clear();
    let bad = dw_tables::Version::new(2, bad.tables);
    let parent = world.accepted[0].hash;
    world.overwrite(&bad, parent);
    world.run(secs(5));
    assert!(world.hosts.iter().all(|host| host.served.number == 1));
    assert!(world.relays().iter().all(|id| world.status(*id).state == RolloutState::Refused));
    assert!(world.total(Counter::RefusedInvalid) > 0);
}

/// Guards against a target that still receives requests after it has announced that it is draining.
#[test]
fn drain_is_known_everywhere_within_seconds() {
    let mut world = world(20);
    world.local(3, LocalEvent::StartDrain);
    world.run(secs(3));
    let host = world.hosts[3].cfg.host.clone();
    for other in &world.hosts {
        let table = other.node.as_ref().expect("running").members();
        let member = table.get("domain-0", &host).expect("member");
        assert_eq!(member.state, MemberState::Leaving, "in the view of {}", other.cfg.host);
    }
    world.local(3, LocalEvent::DrainComplete);
    world.run(Duration::from_millis(200));
    world.crash(3);
    world.run(secs(3));
    for other in world.hosts.iter().filter(|other| other.cfg.host != host) {
        let table = other.node.as_ref().expect("running").members();
        let member = table.get("domain-0", &host).expect("member");
        assert_eq!(member.state, MemberState::Left, "in the view of {}", other.cfg.host);
    }
    world.apply();
    world.run(secs(5));
    world.expect_converged();
}

/// Guards against a poison fingerprint that does not reach other domains.
#[test]
fn poison_reaches_every_daemon() {
    let mut world = world(21);
    world.local(6, LocalEvent::Poison(Fingerprint(42)));
    world.run(secs(1));
    for host in world.hosts.iter().filter(|host| host.cfg.host.as_str() != "host-6") {
        assert!(host.poison.contains(&42), "{} did not receive the fingerprint", host.cfg.host);
    }
}

/// Guards against a daemon that serves poison requests because it started after they were found.
#[test]
fn poison_is_told_to_a_daemon_that_joins() {
    let mut world = world(24);
    world.local(6, LocalEvent::Poison(Fingerprint(42)));
    world.run(secs(1));
    for id in [3, 6] {
        world.crash(id);
        world.run(secs(2));
        world.start(id);
        world.run(secs(5));
        assert!(world.hosts[id].poison.contains(&42), "{id} was not told");
    }
    // It is refused no longer than by those who found it.
    world.run(secs(600));
    world.crash(3);
    world.start(3);
    world.run(secs(5));
    assert!(world.hosts[3].poison.is_empty());
}

/// Guards against daemons that serve poison requests because they were cut off when these were found.
#[test]
fn poison_is_told_to_daemons_that_were_cut_off() {
    let mut world = world(25);
    let (cut, rest) =
        (world.domain("domain-2"), [world.domain("domain-0"), world.domain("domain-1")].concat());
    world.cut(&cut, &rest);
    world.cut(&rest, &cut);
    world.run(secs(10));
    world.local(rest[0], LocalEvent::Poison(Fingerprint(42)));
    world.local(cut[0], LocalEvent::Poison(Fingerprint(43)));
    world.run(secs(10));
    assert!(cut.iter().all(|id| !world.hosts[*id].poison.contains(&42)));
    world.cuts.clear();
    world.run(secs(30));
    for host in &world.hosts {
        let own = [rest[0], cut[0]].map(|id| world.hosts[id].cfg.host == host.cfg.host);
        assert!(own[0] || host.poison.contains(&42), "{} was not told of 42", host.cfg.host);
        assert!(own[1] || host.poison.contains(&43), "{} was not told of 43", host.cfg.host);
    }
}

/// Guards against daemons that go on refusing a request that a target has answered, and against one that joins, or was cut
/// off, and brings the refusal back.
#[test]
fn withdrawn_poison_is_accepted_everywhere() {
    let mut world = world(26);
    world.local(6, LocalEvent::Poison(Fingerprint(42)));
    world.run(secs(1));
    let (cut, rest) =
        (world.domain("domain-2"), [world.domain("domain-0"), world.domain("domain-1")].concat());
    world.cut(&cut, &rest);
    world.cut(&rest, &cut);
    // Several daemons have seen the answers.
    for id in &rest[..4] {
        world.local(*id, LocalEvent::PoisonAnswered(Fingerprint(42)));
    }
    world.run(secs(3));
    assert!(rest.iter().all(|id| !world.hosts[*id].poison.contains(&42)));
    world.cuts.clear();
    world.crash(rest[0]);
    world.run(secs(2));
    world.start(rest[0]);
    world.run(secs(20));
    assert!(rest.iter().all(|id| !world.hosts[*id].poison.contains(&42)));
}

/// Guards against a status that only relays can report.
#[test]
fn any_daemon_reports_the_status() {
    let mut world = world(22);
    let relays = world.relays();
    let id = (0..13).find(|id| !relays.contains(id)).expect("a daemon without a slot");
    assert_eq!(world.status(id).state, RolloutState::Unknown);
    world.local(id, LocalEvent::StatusRequested);
    world.run(secs(2));
    assert_eq!(world.status(id).state, RolloutState::InForce);
}

/// Guards against a false `in-force` while an unreachable member still serves the old version.
#[test]
fn member_cut_off_is_named_as_unreachable() {
    let mut world = world(23);
    let rest: Vec<_> = (0..13).filter(|id| *id != 3).collect();
    world.cut(&rest, &[3]);
    world.cut(&[3], &rest);
    world.cut_platform(&[3]);
    world.apply();
    world.run(secs(60));
    let id = *world.relays().iter().find(|id| **id != 3).expect("relay");
    let status = world.status(id);
    assert_eq!(status.state, RolloutState::Behind);
    let named = status.domains.iter().any(|d| d.unreachable.iter().any(|h| h.as_str() == "host-3"));
    assert!(named, "{status:?}");
}

/// Guards against a status that is unknown but names no host, so that an operator cannot act on it.
#[test]
fn members_of_a_silent_domain_are_named() {
    let mut world = World::started(27, PresetName::Verband, &[3, 1]);
    world.crash(3);
    world.run(secs(15));
    let status = world.status(0);
    assert_ne!(status.state, RolloutState::InForce);
    let silent = status.domains.iter().find(|d| d.domain.as_str() == "domain-1").expect("domain");
    assert_eq!(silent.state, RolloutState::Unknown);
    assert_eq!((silent.members, silent.applied), (1, 0));
    assert!(silent.unreachable.iter().any(|h| h.as_str() == "host-3"), "{silent:?}");
}

/// Guards against relays that are replaced although nothing has failed.
#[test]
fn quiet_fleet_keeps_its_relays() {
    let mut world = world(24);
    let relays = world.relays();
    world.platform.calls.clear();
    world.run(secs(300));
    assert_eq!(world.relays(), relays);
    assert_eq!(world.total(Counter::Suspected), 0);
    let parts = world.platform.calls.get(&PlatformCallKind::ReadParts);
    assert_eq!(parts, None, "parts are read once");
}

/// Guards against a subtree that does not receive a change because its parent has failed.
#[test]
fn children_of_failed_nodes_are_adopted() {
    let mut world = World::started(25, PresetName::Cooperative, &[30]);
    let relays = world.relays();
    let lost: Vec<_> = (0..30).filter(|id| !relays.contains(id)).take(8).collect();
    lost.iter().for_each(|id| world.crash(*id));
    let before = world.total(Counter::Adopted);
    world.apply();
    world.run(secs(4));
    let late = world.hosts.iter().filter(|host| host.node.is_some() && host.served.number != 2);
    assert_eq!(late.count(), 0, "hosts without the change after 4 s");
    assert!(world.total(Counter::Adopted) > before);
}

/// Guards against a join storm in which one peer answers all requests, and against new hosts that it defers
/// forever.
#[test]
fn join_storm_is_spread() {
    let mut world = World::new(26, PresetName::Verband, &[60]);
    world.apply();
    (0..60).for_each(|id| world.start(id));
    world.run(secs(40));
    world.expect_converged();
    assert!(world.total(Counter::JoinDeferred) > 0);
}

/// Guards against a snapshot being sent for every change instead of only the changed rows.
#[test]
fn changes_travel_as_deltas() {
    let mut world = World::new(27, PresetName::Verband, &[6, 6]);
    world.rows = 40;
    world.apply();
    (0..12).for_each(|id| world.start(id));
    world.run(secs(20));
    let snapshots = world.total(Counter::SnapshotSent);
    for _ in 0..4 {
        world.apply();
        world.run(secs(4));
    }
    world.expect_converged();
    assert_eq!(world.total(Counter::SnapshotSent), snapshots);
    // The two relays of each domain read from the platform; each of the 8 other hosts gets a delta.
    assert!(world.total(Counter::DeltaSent) >= 4 * 8);
}
