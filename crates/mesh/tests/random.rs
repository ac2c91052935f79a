//! Random faults from fixed seeds. The harness checks the invariants after each step, and once the
//! faults end, the fleet has to converge. Each seed that ever failed is kept as a named test.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use dw_mesh::PresetName;
use harness::{Faults, World};

/// Runs a fleet for 60 s with random faults and then without; 60 s after a new version it must have
/// converged.
fn run(seed: u64) {
    let preset = if seed.is_multiple_of(2) { PresetName::Verband } else { PresetName::Cooperative };
    let mut world = World::started(seed, preset, &[5, 4, 3]);
    let count = world.hosts.len();
    world.faults = Faults { loss: 0.05, duplicates: 0.05, delay: Duration::from_millis(200) };
    for _ in 0..60 {
        step(&mut world, count);
        world.run(Duration::from_secs(1));
    }
    world.faults = Faults::default();
    world.cuts.clear();
    world.platform.cut.clear();
    world.set_platform_down(false);
    for id in 0..count {
        if !world.running(id) {
            world.start(id);
        } else if world.is_paused(id) {
            world.resume(id);
        }
    }
    world.run(Duration::from_secs(30));
    world.apply();
    world.run(Duration::from_secs(60));
    world.expect_converged();
}

/// Triggers one random event. At most a third of the hosts are down at a time, so that some peer
/// remembers the floors.
fn step(world: &mut World, count: usize) {
    let id = world.random(count);
    let down = (0..count).filter(|id| !world.running(*id)).count();
    match world.random(14) {
        0..=2 => {
            world.apply();
        }
        3 | 4 if world.running(id) && down < count / 3 => world.crash(id),
        5 | 6 if !world.running(id) => world.start(id),
        7 if world.running(id) && !world.is_paused(id) => world.pause(id),
        8 | 9 => {
            let paused: Vec<_> = (0..count).filter(|id| world.is_paused(*id)).collect();
            if let Some(id) = paused.first() {
                world.resume(*id);
            }
        }
        10 => {
            let other = world.random(count);
            world.cut(&[id], &[other]);
        }
        11 => {
            let domains = ["domain-0", "domain-1", "domain-2"];
            let (a, b) = (world.random(3), world.random(3));
            let (a, b) = (world.domain(domains[a]), world.domain(domains[b]));
            world.cut(&a, &b);
        }
        12 => {
            world.cuts.clear();
            world.platform.cut.clear();
            world.set_platform_down(false);
        }
        13 if world.random(2) == 0 => world.set_platform_down(true),
        13 => world.cut_platform(&[id]),
        _ => {}
    }
}

/// Guards against failures under combinations of faults that the other tests do not cover.
#[test]
fn random_faults() {
    let first = std::env::var("MESH_SEED").ok().and_then(|seed| seed.parse().ok());
    let count = std::env::var("MESH_SEEDS").ok().and_then(|count| count.parse().ok());
    let first = first.unwrap_or(100);
    (first..first + count.unwrap_or(6)).for_each(run);
}

/// Guards against relays that have just started and report a version in force although they know
/// only a few of the members.
#[test]
fn new_relay_does_not_know_all_members() {
    [1021, 1100, 1215, 1303].into_iter().for_each(run);
}

/// Guards against a daemon whose join addresses are all down and that reports a version in force
/// with itself as the only member, although the platform's relay records name daemons that it
/// cannot reach.
#[test]
fn relay_records_name_members_that_are_cut_off() {
    run(2115);
}

/// Guards against a restarted host that serves a lower version than before, because the peers that
/// knew its floor did not answer in time.
#[test]
fn floor_is_asked_again_under_loss() {
    [10_339, 10_703].into_iter().for_each(run);
}

/// Guards against totals of a domain that stay partial on the relays of other domains.
#[test]
fn totals_are_complete_once_faults_end() {
    [10_365, 10_526].into_iter().for_each(run);
}

/// Guards against a restarted daemon that no peer knows yet and that serves a version offered by a
/// peer.
#[test]
fn unknown_daemon_serves_nothing_from_peers() {
    run(10_811);
}

/// Guards against a joining node that takes the floor from another one, which does not know it.
#[test]
fn newcomers_do_not_tell_each_other_the_floor() {
    run(20_102);
}
