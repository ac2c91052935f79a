use dw_tables::Name;

/// Hash of a name (FNV-1a), which is the same in every daemon and release.
#[must_use]
pub(crate) fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Weight of a candidate for a key; the candidate with the highest weight is chosen.
#[must_use]
pub(crate) const fn weight(key: u64, candidate: u64) -> u64 {
    // The finalizer of SplitMix64 distributes similar inputs over the whole range.
    let mut x = key ^ candidate.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Candidates for rendezvous hashing: every daemon with the same candidates makes the same choice.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    list: Vec<(u64, Name)>,
}

impl Ranking {
    /// Creates a ranking of the given candidates.
    #[must_use]
    pub fn new(names: impl IntoIterator<Item = Name>) -> Self {
        let list = names.into_iter().map(|name| (name_hash(&name), name)).collect();
        Self { list }
    }

    /// The candidate ranked first for a key. To find the keeper of a key, the candidates are the alive
    /// and suspect daemons of its home domain. The cost is a few ns per candidate.
    #[must_use]
    pub fn first(&self, key: &str) -> Option<&Name> {
        let key = name_hash(key);
        self.list.iter().max_by_key(|(hash, name)| (weight(key, *hash), name)).map(|(_, name)| name)
    }
}

/// The home failure domain of a key. It does not depend on which daemons are alive, so it stays the
/// same during a network partition.
///
/// `stated` is the value of the header `damaskwick-home`; `local` is the domain of the daemon that
/// the request entered through, for callers on the same host; `known` ranks all domains ever seen,
/// not only those that are currently reachable.
#[must_use]
pub fn home_domain<'a>(
    key: &str,
    stated: Option<&'a Name>,
    local: Option<&'a Name>,
    known: &'a Ranking,
) -> Option<&'a Name> {
    stated.or(local).or_else(|| known.first(key))
}
