use std::{fmt, str::FromStr, time::Duration};

use crate::Rate;

/// The load of one target, which its daemon reports in the `damaskwick-load` header of each response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight at the target.
    pub in_flight: u32,
    /// Requests that the target may run concurrently.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Whether the target is shedding load.
    pub shedding: bool,
    /// Whether the target has announced in a response that it is leaving.
    pub leaving: bool,
    /// Rate limit that the target advertises, in requests per second, if any.
    pub limit: Option<Rate>,
    /// Typical service time of requests like the one that was answered, in whole microseconds. Only
    /// reported if the capacity of the target's pool is learned.
    pub service: Option<Duration>,
}

/// The text is not a valid load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "a load is written as in-flight/slots/queued/shedding, such as 3/12/0/0, followed by /leaving, \
     /limit=31.5 and /us=63000 where they apply"
)]
pub struct ParseLoadError;

/// Part of the text for a target that is leaving. This part, the limit and the service time are omitted if
/// they do not apply, because traffic between failure domains is billed by the byte.
const LEAVING: &str = "leaving";

/// Prefix of the rate of a target that advertises a limit.
const LIMIT: &str = "limit=";

/// Prefix of the service time in microseconds.
const SERVICE: &str = "us=";

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { in_flight, slots, queued, shedding, leaving, limit, service } = self;
        write!(f, "{in_flight}/{slots}/{queued}/{}", u8::from(*shedding))?;
        if *leaving {
            write!(f, "/{LEAVING}")?;
        }
        if let Some(rate) = limit {
            write!(f, "/{LIMIT}{rate}")?;
        }
        match service {
            Some(time) => write!(f, "/{SERVICE}{}", time.as_micros()),
            None => Ok(()),
        }
    }
}

impl FromStr for Load {
    type Err = ParseLoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/');
        let mut number = || {
            let part = parts.next().ok_or(ParseLoadError)?;
            part.parse::<u32>().map_err(|_| ParseLoadError)
        };
        let (in_flight, slots, queued) = (number()?, number()?, number()?);
        let shedding = number()? != 0;
        let mut load = Self { in_flight, slots, queued, shedding, ..Self::default() };
        for part in parts {
            if let Some(rate) = part.strip_prefix(LIMIT) {
                load.limit = Some(rate.parse().map_err(|_| ParseLoadError)?);
            } else if let Some(time) = part.strip_prefix(SERVICE) {
                let time = time.parse::<u32>().map_err(|_| ParseLoadError)?;
                load.service = Some(Duration::from_micros(time.into()));
            } else if part == LEAVING {
                load.leaving = true;
            } else {
                return Err(ParseLoadError);
            }
        }
        Ok(load)
    }
}
