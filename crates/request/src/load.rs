use std::{fmt, str::FromStr};

/// The load of one target as its daemon reports it with each response, in `damaskwick-load`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight at the target.
    pub in_flight: u32,
    /// Requests that the target may run at once.
    pub slots: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Whether requests are being turned away.
    pub shedding: bool,
}

/// The text is not a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a load is written as in-flight/slots/queued/shedding, such as 3/12/0/0")]
pub struct ParseLoadError;

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { in_flight, slots, queued, shedding } = self;
        write!(f, "{in_flight}/{slots}/{queued}/{}", u8::from(*shedding))
    }
}

impl FromStr for Load {
    type Err = ParseLoadError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('/').map(|part| part.parse::<u32>().map_err(|_| ParseLoadError));
        let mut next = || parts.next().unwrap_or(Err(ParseLoadError));
        let load =
            Self { in_flight: next()?, slots: next()?, queued: next()?, shedding: next()? != 0 };
        if parts.next().is_some() { Err(ParseLoadError) } else { Ok(load) }
    }
}
