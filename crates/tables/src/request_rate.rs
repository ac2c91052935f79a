use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize, Serializer};
use thiserror::Error;

/// The largest rate of a workspace in requests per second, above what the whole mesh serves.
pub const MAX_REQUEST_RATE: u32 = 1_000_000;

/// The number of decimals that a rate keeps.
const DECIMALS: usize = 3;

const THOUSANDTHS: u32 = 1000;

/// Requests per second, stored in thousandths so that rates can be compared exactly; 0 means no
/// limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(try_from = "f64")]
pub struct RequestRate {
    thousandths: u32,
}

/// The value is not a [`RequestRate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not a number from 0 to {MAX_REQUEST_RATE} with at most {DECIMALS} decimals")]
pub struct ParseRequestRateError;

impl RequestRate {
    /// A whole number of requests per second; values above [`MAX_REQUEST_RATE`] saturate.
    #[must_use]
    pub const fn new(per_second: u32) -> Self {
        let capped = if per_second > MAX_REQUEST_RATE { MAX_REQUEST_RATE } else { per_second };
        Self { thousandths: capped * THOUSANDTHS }
    }

    /// The rate in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.thousandths) / f64::from(THOUSANDTHS)
    }

    /// The rate in thousandths of a request per second.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.thousandths
    }

    /// Whether there is no limit.
    #[must_use]
    pub const fn is_unlimited(self) -> bool {
        self.thousandths == 0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_second())
    }
}

/// A whole rate is written without decimals, which keeps the canonical text short.
impl Serialize for RequestRate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self.thousandths % THOUSANDTHS {
            0 => serializer.serialize_u32(self.thousandths / THOUSANDTHS),
            _ => serializer.serialize_f64(self.per_second()),
        }
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = ParseRequestRateError;

    /// Rounds to thousandths. A positive rate is at least one thousandth, because 0 would remove the
    /// limit.
    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        let thousandths = (per_second * f64::from(THOUSANDTHS)).round();
        let largest = f64::from(MAX_REQUEST_RATE) * f64::from(THOUSANDTHS);
        if !(0.0..=largest).contains(&thousandths) || per_second < 0.0 {
            return Err(ParseRequestRateError);
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked")]
        let thousandths = thousandths as u32;
        Ok(Self { thousandths: thousandths.max(u32::from(per_second > 0.0)) })
    }
}

impl FromStr for RequestRate {
    type Err = ParseRequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (whole, decimals) = text.split_once('.').unwrap_or((text, "0"));
        let is_number = |part: &str| !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit());
        if !is_number(whole) || !is_number(decimals) || decimals.len() > DECIMALS {
            return Err(ParseRequestRateError);
        }
        text.parse::<f64>().map_err(|_| ParseRequestRateError)?.try_into()
    }
}
