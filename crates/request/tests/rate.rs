//! Rates that targets advertise.

use std::time::Duration;

use dw_request::Rate;
use googletest::prelude::*;
use proptest::proptest;

const LONGEST: Duration = Duration::from_secs(2);

/// Guards against a rate that is parsed as another one, or rejected.
#[gtest]
fn decimal_numbers_are_rates() {
    for (text, rate) in [("63.2", 63.2), ("31", 31.0), ("0.3", 0.3), ("0", 0.0), ("7.", 7.0)] {
        let parsed = text.parse::<Rate>().map(Rate::per_second);
        expect_that!(parsed, ok(approx_eq(rate)), "{text}");
    }
}

/// Guards against invalid input that crashes the daemon or is accepted as a rate.
#[gtest]
fn what_is_no_decimal_number_is_refused() {
    let digits = "9".repeat(10_240);
    let bad =
        ["", ".", "-1", "+1", "NaN", "inf", "1e308", "1e3", "1,5", "1 2", "0x10", "ten", "1.2.3"];
    for text in bad.into_iter().chain([digits.as_str()]) {
        expect_that!(text.parse::<Rate>().is_err(), eq(true), "{text:.20}");
    }
}

/// Guards against an interval that overflows, or that stops all requests forever.
#[gtest]
fn the_interval_is_bounded() {
    let interval = |text: &str| text.parse::<Rate>().map(|rate| rate.interval(LONGEST));
    expect_that!(interval("0"), ok(eq(LONGEST)));
    expect_that!(interval("0.0001"), ok(eq(LONGEST)));
    expect_that!(interval("4"), ok(eq(Duration::from_millis(250))));
    expect_that!(interval("99999999999999999999"), ok(lt(Duration::from_micros(1))));
}

proptest! {
    /// Guards against input that causes a panic, and against a rate that does not survive a round trip
    /// through its text.
    #[test]
    fn any_text_is_a_rate_or_an_error(text in "[0-9.eE+-]{0,40}|.{0,40}") {
        if let Ok(rate) = text.parse::<Rate>() {
            let again: Rate = rate.to_string().parse().map_err(|e| {
                proptest::test_runner::TestCaseError::fail(format!("{rate}: {e}"))
            })?;
            assert!((again.per_second() - rate.per_second()).abs() < 0.0021);
        }
    }
}
