//! Rates that targets name.

use std::time::Duration;

use dw_request::Rate;
use googletest::prelude::*;
use proptest::proptest;

const LONGEST: Duration = Duration::from_secs(2);

/// Guards against a limit that is taken for another one, or for none.
#[gtest]
fn decimal_numbers_are_rates() {
    for (text, rate) in [("63.2", 63.2), ("31", 31.0), ("0.3", 0.3), ("0", 0.0), ("7.", 7.0)] {
        let read = text.parse::<Rate>().map(Rate::per_second);
        expect_that!(read, ok(approx_eq(rate)), "{text}");
    }
}

/// Guards against a text from outside that ends the daemon or counts as a limit.
#[gtest]
fn what_is_no_decimal_number_is_refused() {
    let digits = "9".repeat(10_240);
    let bad =
        ["", ".", "-1", "+1", "NaN", "inf", "1e308", "1e3", "1,5", "1 2", "0x10", "ten", "1.2.3"];
    for text in bad.into_iter().chain([digits.as_str()]) {
        expect_that!(text.parse::<Rate>().is_err(), eq(true), "{text:.20}");
    }
}

/// Guards against an interval that overflows, or that stops all requests for ever.
#[gtest]
fn the_interval_is_bounded() {
    let interval = |text: &str| text.parse::<Rate>().map(|rate| rate.interval(LONGEST));
    expect_that!(interval("0"), ok(eq(LONGEST)));
    expect_that!(interval("0.0001"), ok(eq(LONGEST)));
    expect_that!(interval("4"), ok(eq(Duration::from_millis(250))));
    expect_that!(interval("99999999999999999999"), ok(lt(Duration::from_micros(1))));
}

proptest! {
    /// Guards against a text that panics, and against a rate that its own text does not give back.
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
