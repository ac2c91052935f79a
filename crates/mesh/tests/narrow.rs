//! Distribution among hosts on links of a few Mbit/s.

#![allow(clippy::expect_used)]

mod harness;

use std::time::Duration;

use dw_mesh::{Action, Counter, Input, LocalEvent, PlatformCallKind};
use dw_wire::{Frame, FrameBody, Pull};
use harness::{World, link::Link};

/// The time within which a version must be in force on each host after the platform acknowledged it.
const IN_FORCE: Duration = Duration::from_millis(2500);

/// The pause between the versions of a burst.
const BURST_INTERVAL: Duration = Duration::from_millis(1100);

/// Link rates of the hosts, in Mbit/s.
const NARROW_MBIT: u32 = 5;
const WIDE_MBIT: u32 = 100;

/// Two hosts of each domain that do not come first by hash alone.
const WIDE_HOSTS: [usize; 4] = [2, 7, 9, 12];

/// Size of one route as the platform sends it with the head, in bytes.
const ROUTE_BYTES: u64 = 230;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Starts two domains that serve a version of 1,600 routes, with narrow links only.
fn world(seed: u64) -> World {
    start(seed, &[])
}

/// Starts two domains that serve a version of 1,600 routes, with faster links at the `wide` hosts.
fn start(seed: u64, wide: &[usize]) -> World {
    let mut world = World::sidecars(seed, &[9, 5]);
    for host in &mut world.hosts {
        host.cfg.link = NARROW_MBIT;
        host.link = Some(Link::new(NARROW_MBIT.into()));
    }
    for id in wide {
        world.hosts[*id].cfg.link = WIDE_MBIT;
        world.hosts[*id].link = Some(Link::new(WIDE_MBIT.into()));
    }
    add_routes(&mut world, 1600);
    world.apply();
    (0..world.hosts.len()).for_each(|id| world.start(id));
    world.run(ms(15_000));
    world.expect_converged();
    world
}

fn add_routes(world: &mut World, count: usize) {
    world.rows += count;
    world.platform.head_size = ROUTE_BYTES * world.rows as u64;
}

/// Runs for the given time, within which a version should be in force, and returns the hosts on which it is
/// not.
fn late_hosts(world: &mut World, number: u64, time: Duration) -> Vec<String> {
    world.run(time);
    let late = world.hosts.iter().filter(|host| host.served.number < number);
    late.map(|host| host.cfg.host.to_string()).collect()
}

/// Guards against relays whose links are saturated by rows, so that a version that adds many routes, and the
/// versions that follow it immediately, come into force too late.
#[test]
fn added_routes_do_not_fill_the_links_of_relays() {
    for seed in 1..=3 {
        let mut world = world(seed);
        world.apply();
        world.run(BURST_INTERVAL);
        add_routes(&mut world, 1404);
        let grown = world.apply();
        world.run(BURST_INTERVAL);
        let next = world.apply();
        let late = late_hosts(&mut world, grown, IN_FORCE - BURST_INTERVAL);
        assert!(late.is_empty(), "seed {seed}: version {grown} is late on {late:?}");
        let late = late_hosts(&mut world, next, BURST_INTERVAL);
        assert!(late.is_empty(), "seed {seed}: version {next} is late on {late:?}");
    }
}

/// Guards against compressed rows that are sent to a peer of an earlier release, which cannot decompress them.
#[test]
fn a_peer_that_does_not_ask_for_packed_rows_gets_text() {
    let mut world = world(4);
    let (now, from) = (world.now, world.hosts[1].cfg.peer);
    for (compressed, text) in [(false, true), (true, false)] {
        world.run(ms(1000));
        let frame = Frame::new(FrameBody::Pull(Pull { have: None, compressed }));
        let node = world.hosts[0].node.as_mut().expect("node");
        let actions = node.handle(Input::Frame { from, frame }, now);
        let sent = actions.into_iter().find_map(|action| match action {
            Action::SendFrame {
                frame: Frame { body: Some(FrameBody::Snapshot(s)), .. }, ..
            } => Some(s),
            _ => None,
        });
        let sent = sent.expect("snapshot");
        assert_eq!(sent.compressed, compressed);
        assert_eq!(std::str::from_utf8(&sent.rows).is_ok(), text);
    }
}

fn head_reads(world: &World) -> u64 {
    let hosts = 0..world.hosts.len();
    hosts.map(|id| world.platform.count(id, PlatformCallKind::ReadHead)).sum()
}

/// Guards against standbys that read the head, which carries the whole configuration, again although their
/// watch has already reported the version.
#[test]
fn a_version_is_not_read_again_after_the_watch_reported_it() {
    // The peers of a standby have the version before the head has arrived over the standby's own link.
    let mut world = start(5, &WIDE_HOSTS);
    let before = head_reads(&world);
    for _ in 0..4 {
        world.apply();
        world.run(ms(4000));
    }
    world.expect_converged();
    let reads = head_reads(&world) - before;
    // The eight relays and standbys read the head every 15 to 30 s in addition to their watches.
    assert!(reads <= 10, "{reads} reads for 4 versions in 16 s");
}

/// Guards against a host that requests the configuration again while an answer is still being transferred,
/// which makes both answers slower.
#[test]
fn a_host_that_starts_reads_the_head_once_at_a_time() {
    let mut world = world(6);
    add_routes(&mut world, 2800);
    world.apply();
    world.run(ms(8000));
    let last = world.hosts.len() - 1;
    world.crash(last);
    let others: Vec<_> = (0..last).collect();
    world.cut(&others, &[last]);
    world.cut(&[last], &others);
    world.start(last);
    let before = world.platform.count(last, PlatformCallKind::ReadHead);
    world.run(ms(1500));
    assert_eq!(world.platform.count(last, PlatformCallKind::ReadHead) - before, 1);
    world.run(ms(500));
    assert_eq!(world.hosts[last].served.number, world.accepted.len() as u64);
}

/// Guards against slow distribution because hosts become relays regardless of the speed of their links.
#[test]
fn hosts_with_fast_links_hold_the_slots() {
    for seed in 1..=3 {
        let mut world = start(seed, &WIDE_HOSTS);
        assert_eq!(world.holders(), WIDE_HOSTS, "seed {seed}: at first");
        world.crash(7);
        world.run(ms(10_000));
        assert_eq!(world.holders().len(), 4, "seed {seed}: one host is down");
        world.start(7);
        world.run(ms(10_000));
        assert_eq!(world.holders(), WIDE_HOSTS, "seed {seed}: after its restart");
    }
}

/// Guards against a domain that has no relay while a slot is handed over.
#[test]
fn a_slot_that_changes_hands_delays_no_version() {
    for seed in 1..=3 {
        let mut world = start(seed, &WIDE_HOSTS);
        for id in WIDE_HOSTS {
            world.local(id, LocalEvent::StartDrain);
            world.local(id, LocalEvent::DrainComplete);
            world.crash(id);
        }
        world.run(ms(10_000));
        WIDE_HOSTS.into_iter().for_each(|id| world.start(id));
        for _ in 0..6 {
            let number = world.apply();
            let late = late_hosts(&mut world, number, BURST_INTERVAL);
            assert!(late.is_empty(), "seed {seed}: version {number} is late on {late:?}");
        }
    }
}

/// Guards against hosts that apply each version of a quick series separately, which on a host with a tenth of a
/// core takes longer than the time between two versions. Also guards against hosts that skip versions and then
/// serve the last ones late.
#[test]
fn a_series_of_versions_is_applied_a_few_at_a_time() {
    const GAP: Duration = ms(170);
    const COUNT: u64 = 30;
    for seed in 10..13 {
        let mut world = start(seed, &WIDE_HOSTS);
        let others: Vec<_> = (0..world.hosts.len()).filter(|id| !WIDE_HOSTS.contains(id)).collect();
        let published = |world: &World, id: usize| {
            world.hosts[id].counts.get(&Counter::Published).copied().unwrap_or(0)
        };
        let before: Vec<_> = others.iter().map(|id| published(&world, *id)).collect();
        let first = world.accepted.len() as u64 + 1;
        let steps = COUNT + u64::try_from(IN_FORCE.as_millis() / GAP.as_millis()).expect("steps");
        for step in 0..steps {
            if step < COUNT {
                world.apply();
            }
            world.run(GAP);
            // The version whose deadline ends with this step.
            let due = (first + step + 1).saturating_sub(steps - COUNT);
            let late =
                world.hosts.iter().filter(|host| host.served.number < due.min(first + COUNT - 1));
            let late: Vec<_> = late.map(|host| host.cfg.host.to_string()).collect();
            assert!(late.is_empty(), "seed {seed}: version {due} is late on {late:?}");
        }
        for (id, before) in others.iter().zip(before) {
            let applied = published(&world, *id) - before;
            assert!(applied <= 16, "seed {seed}: host {id} applied {applied} of {COUNT} versions");
        }
    }
}
