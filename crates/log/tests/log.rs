//! Tests of formatting, sampling, and that logging never waits for the output.

use std::{
    io::{self, Write},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dw_log::{Event, Field, Kind, Log, LogFormat, LogLevel, LogSettings, RequestClass, Sampler};
use googletest::prelude::*;
use tokio::time::{Instant, advance};

/// An in-memory output that can block like a pipe that nobody reads.
#[derive(Clone, Default)]
struct Pipe(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    blocked: bool,
}

impl Pipe {
    fn blocked() -> Self {
        let pipe = Self::default();
        pipe.block(true);
        pipe
    }

    fn block(&self, block: bool) {
        self.lock().blocked = block;
        self.0.changed.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.lock().bytes).into_owned()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.0.changed.wait_while(self.lock(), |state| state.blocked);
        state.unwrap_or_else(PoisonError::into_inner).bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn log(pipe: &Pipe) -> Result<Log> {
    let settings = LogSettings { level: LogLevel::Info, format: LogFormat::Json };
    Ok(Log::with_output(settings, "h1".into(), pipe.clone())?)
}

fn placed() -> Event {
    Event::new(Kind::Placed).with(Field::Target, "h2").with(Field::Slots, 4_u32)
}

/// Guards against text from outside that breaks the JSON of its line, which log readers parse.
#[gtest]
#[tokio::test]
async fn a_line_is_one_json_object_whatever_the_text_holds() -> Result<()> {
    let pipe = Pipe::default();
    let log = log(&pipe)?;
    let detail = "a \"quoted\" line\nand \\ another, ä".to_owned();
    log.write(&Event::new(Kind::StoreLost).with(Field::Detail, detail.clone()));
    log.flush();

    let text = pipe.text();
    let lines: Vec<serde_json::Value> =
        text.lines().map(serde_json::from_str).collect::<std::result::Result<_, _>>()?;
    expect_that!(lines.len(), eq(1));
    expect_that!(lines[0]["event"].as_str(), some(eq("store-lost")));
    expect_that!(lines[0]["level"].as_str(), some(eq("warn")));
    expect_that!(lines[0]["host"].as_str(), some(eq("h1")));
    expect_that!(lines[0]["detail"].as_str(), some(eq(detail.as_str())));
    expect_that!(lines[0]["time"].as_str().unwrap_or_default(), ends_with("Z"));
    Ok(())
}

/// Guards against a trace that does not show whether its request was cancelled by the caller or is still
/// in progress.
#[gtest]
#[tokio::test]
async fn a_trace_without_an_end_says_that_the_caller_left() -> Result<()> {
    let pipe = Pipe::default();
    let log = log(&pipe)?;
    let trace = log.trace("r1");
    trace.record(placed);
    let other = trace.clone();
    drop(trace);
    log.flush();
    expect_that!(pipe.text(), eq(""));
    drop(other);
    log.flush();

    let text = pipe.text();
    expect_that!(text.lines().count(), eq(2));
    expect_that!(text, contains_substring(r#""event":"cancelled","request":"r1""#));
    Ok(())
}

/// Guards against a process that blocks because nobody reads the pipe that it logs to.
#[gtest]
#[tokio::test]
async fn a_stalled_output_loses_lines_and_blocks_nothing() -> Result<()> {
    let pipe = Pipe::blocked();
    let log = log(&pipe)?;
    let event = Event::new(Kind::StoreLost).with(Field::Detail, "x".repeat(1_000));
    let started = std::time::Instant::now();
    for _ in 0..2_000 {
        log.write(&event);
    }
    expect_that!(started.elapsed(), lt(Duration::from_secs(2)));
    let lost = log.losses().lines;
    expect_that!(lost, gt(1_000));

    pipe.block(false);
    log.flush();
    log.write(&event);
    log.flush();
    expect_that!(
        pipe.text(),
        contains_substring(format!(r#""event":"lines-dropped","count":{lost}"#))
    );
    Ok(())
}

/// Guards against a burst of failures that fills the log, and against incomplete traces: what a busy
/// host keeps, a less busy one must keep as well.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_burst_is_sampled_and_idle_hosts_keep_what_busy_ones_do() -> Result<()> {
    let (mut busy, mut idle) = (Sampler::new(Instant::now()), Sampler::new(Instant::now()));
    let (mut first, mut burst, mut missing) = (0, 0, 0);
    for second in 0..10 {
        for number in 0..2_000_u64 {
            // A multiplicative hash spreads the trailing bits as a digest does.
            let hash = (number + second * 2_000).wrapping_mul(0x9e37_79b9_7f4a_7c15).swap_bytes();
            let now = Instant::now();
            let kept = busy.keep(RequestClass::Failed, || hash, now);
            let other = number % 8 == 0 && idle.keep(RequestClass::Failed, || hash, now);
            match second {
                0 => first += u32::from(kept),
                1 => {}
                _ => {
                    burst += u32::from(kept);
                    missing += u32::from(number % 8 == 0 && kept && !other);
                }
            }
        }
        advance(Duration::from_secs(1)).await;
        let dropped = busy.dropped(RequestClass::Failed, Instant::now());
        expect_that!(dropped.map(|dropped| dropped.count), some(gt(1_900)));
        idle.dropped(RequestClass::Failed, Instant::now());
    }
    expect_that!(first, le(60));
    expect_that!(burst, all![ge(8 * 10), le(8 * 40)]);
    expect_that!(missing, eq(0));
    Ok(())
}

/// Guards against sampling while the rate of requests is low: then every request is kept.
#[gtest]
#[tokio::test]
async fn an_idle_host_keeps_every_request() -> Result<()> {
    let pipe = Pipe::default();
    let log = log(&pipe)?;
    for number in 0..8 {
        let trace = log.trace(&format!("r{number}"));
        trace.record(placed);
        trace.end(|| Event::new(Kind::Answered).with(Field::Status, 200_u16));
    }
    log.flush();
    expect_that!(pipe.text().lines().count(), eq(16));
    expect_that!(log.losses().requests, eq(0));
    Ok(())
}

/// Guards against failed requests that are left out of the log because of many ordinary ones.
#[gtest]
#[tokio::test]
async fn failures_are_kept_while_ordinary_requests_are_left_out() -> Result<()> {
    let pipe = Pipe::default();
    let log = log(&pipe)?;
    for number in 0..100 {
        let trace = log.trace(&format!("r{number}"));
        trace.record(placed);
        match number % 10 {
            0 => trace.end(|| {
                let refused = Event::new(Kind::Refused).with(Field::Reason, "queue-full");
                refused.with(Field::Outcome, "not-run")
            }),
            1 => trace.end(|| Event::new(Kind::Truncated).with(Field::Status, 200_u16)),
            _ => trace.end(|| Event::new(Kind::Answered).with(Field::Status, 200_u16)),
        }
    }
    log.flush();
    let text = pipe.text();
    expect_that!(text.matches(r#""event":"refused""#).count(), eq(10));
    expect_that!(text.matches(r#""event":"truncated""#).count(), eq(10));
    expect_that!(text.matches(r#""event":"answered""#).count(), eq(8));
    expect_that!(log.losses().requests, eq(72));
    Ok(())
}
