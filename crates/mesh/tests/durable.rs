//! Nodes on a platform that loses nothing it acknowledged.

#![allow(clippy::expect_used)]

mod harness;

use std::{sync::Arc, time::Duration};

use dw_mesh::PresetName;
use dw_tables::Hash;
use harness::{World, version};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Hosts that know each other through the platform's relay records only.
fn world(seed: u64, sizes: &[usize]) -> World {
    let mut world = World::new(seed, PresetName::Verband, sizes);
    for host in &mut world.hosts {
        host.cfg.preset.durable = true;
        host.cfg.preset.join_spread = ms(200);
        host.cfg.join.clear();
    }
    world.apply();
    (0..world.hosts.len()).for_each(|id| world.start(id));
    world.run(ms(15_000));
    world.expect_settled();
    world
}

/// Guards against a restarted fleet whose hosts wait for floors that no peer remembers.
#[test]
fn a_restarted_fleet_serves_at_once() {
    let mut world = world(1, &[4, 4]);
    world.apply();
    world.run(ms(4000));
    (0..8).for_each(|id| world.crash(id));
    (0..8).for_each(|id| world.start(id));
    world.run(ms(300));
    let newest = world.accepted.last().expect("version").number;
    for host in &world.hosts {
        assert_eq!(host.served.number, newest, "{}", host.cfg.host);
    }
}

/// Guards against a host that reaches the platform and no peer, and stays with the version that it
/// read at its start.
#[test]
fn a_host_that_no_peer_admits_follows_the_platform() {
    let mut world = world(2, &[4, 4]);
    world.crash(7);
    world.cut(&[7], &[0, 1, 2, 3, 4, 5, 6]);
    world.cut(&[0, 1, 2, 3, 4, 5, 6], &[7]);
    world.start(7);
    world.run(ms(500));
    for _ in 0..4 {
        let number = world.apply();
        world.run(ms(2000));
        assert_eq!(world.hosts[7].served.number, number);
    }
}

/// Guards against versions without parents that are taken for forks.
#[test]
fn a_version_without_a_parent_follows() {
    let mut world = world(3, &[3]);
    let next = version(2, "accepted");
    world.accepted.push(Arc::new(next.clone()));
    world.overwrite(&next, Hash::default());
    world.run(ms(4000));
    for host in &world.hosts {
        assert_eq!(host.served.number, 2, "{}", host.cfg.host);
    }
}

/// Guards against a host that has joined, has the version, and waits for the floors of peers that
/// have failed; and against one that then serves an old version although the platform has a newer
/// one.
#[test]
fn a_host_that_starts_beside_failed_peers_serves_soon() {
    for platform in [true, false] {
        let mut world = world(4, &[6]);
        world.crash(5);
        world.hosts[5].cfg.join = world.hosts[..2].iter().map(|host| host.cfg.peer).collect();
        if !platform {
            world.cut_platform(&[0, 1, 2, 3, 4, 5]);
        }
        [3, 4].into_iter().for_each(|id| world.crash(id));
        world.start(5);
        world.run(ms(2500));
        let newest = world.accepted.last().expect("version").number;
        assert_eq!(world.hosts[5].served.number, newest, "platform: {platform}");
    }
}

/// Guards against a host that stops to read the platform once a peer has admitted it, although it
/// serves nothing yet.
#[test]
fn a_host_without_a_version_goes_on_reading_the_platform() {
    let mut world = world(5, &[6]);
    world.crash(5);
    world.hosts[5].cfg.join = world.hosts[..2].iter().map(|host| host.cfg.peer).collect();
    world.cut_platform(&[5]);
    [2, 3, 4].into_iter().for_each(|id| world.crash(id));
    world.start(5);
    world.run(ms(400));
    world.platform.cut.clear();
    world.run(ms(1200));
    let newest = world.accepted.last().expect("version").number;
    assert_eq!(world.hosts[5].served.number, newest);
}
