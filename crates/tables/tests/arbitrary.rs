//! Properties over generated texts and tables.

#![allow(clippy::expect_used)]

use std::collections::BTreeMap;

use dw_tables::{
    Delta, Hash, MAX_CANONICAL_BYTES, Match, Millis, Name, Pool, Repeat, Route, Source, Tables,
    UnknownFields, Version, changes, conflicts, join_parts, parse_pools, parse_tables, split_parts,
    validate,
};
use proptest::prelude::*;

fn pool(name: &str, queue: u32) -> Pool {
    let text = format!(
        r#"{{ "pools": [{{ "name": "{name}", "service": "s", "limits": {{ "queue": {queue} }} }}] }}"#
    );
    parse_pools("pools", &text).expect("pool").remove(0)
}

fn route(name: &str, deadline: u64) -> Route {
    Route {
        name: name.into(),
        matches: Match { path: Name::from(format!("/{name}")), ..Match::default() },
        pool: "p0".into(),
        split: Vec::new(),
        repeat: Repeat::Once,
        deadline: Millis::new(deadline),
        retries: 0,
        priority: 0,
        objective: Millis::new(1000),
        public: false,
        unknown: UnknownFields::default(),
    }
}

prop_compose! {
    fn tables()(
        routes in prop::collection::btree_map("r[0-9]", 1_u64..4, 0..8),
        mut pools in prop::collection::btree_map("p[1-9]", 1_u32..4, 0..8),
    ) -> Tables {
        pools.insert("p0".to_owned(), 1);
        let rows: BTreeMap<String, u64> = routes;
        Tables {
            routes: rows.iter().map(|(name, deadline)| route(name, *deadline)).collect(),
            pools: pools.iter().map(|(name, queue)| pool(name, *queue)).collect(),
            ..Tables::default()
        }
    }
}

/// Fragments of table files, which reach further into the parser than random characters.
fn fragments() -> impl Strategy<Value = String> {
    let fragment = prop_oneof![
        Just("{"),
        Just("}"),
        Just("["),
        Just("]"),
        Just(":"),
        Just(","),
        Just("\"routes\""),
        Just("\"name\""),
        Just("\"match\""),
        Just("\"path\""),
        Just("\"/x\""),
        Just("1"),
        Just("-1e9"),
        Just("null"),
        Just("\"\\u00e9\""),
        Just("// c\n"),
        Just("/* é"),
        Just("\""),
        Just("\\"),
        Just("{\"routes\":["),
        Just("{\"name\":\"a\",\"match\":{\"path\":\"/\"}"),
    ];
    prop::collection::vec(fragment, 0..24).prop_map(|list| list.concat())
}

proptest! {
    /// Guards against text that makes the tool or a daemon panic.
    #[test]
    fn any_text_is_parsed_or_refused(a in any::<String>(), b in fragments(), c in fragments()) {
        for (routes, pools) in [(&a, &b), (&b, &c)] {
            if let Err(findings) =
                parse_tables(Source::new("routes", routes), Source::new("pools", pools))
            {
                prop_assert!(!findings.is_empty());
            }
        }
    }

    /// Guards against a delta that yields rows other than those of the new version.
    #[test]
    fn delta_leads_from_old_to_new(a in tables(), b in tables()) {
        let (old, new) = (Version::new(1, a), Version::new(2, b));
        let delta = Delta::between(&old, &new);
        prop_assert_eq!(delta.apply(&old), Ok(new.clone()));
        let rows = delta.routes.len() + delta.pools.len()
            + delta.gone_routes.len() + delta.gone_pools.len();
        prop_assert_eq!(rows, changes(&old.tables, &new.tables).len());
    }

    /// Guards against a reported conflict where only one side edits, or where both make the same edit.
    #[test]
    fn equal_or_one_sided_edits_do_not_conflict(a in tables(), b in tables()) {
        prop_assert!(conflicts(&a, &b, &b).is_empty());
        prop_assert!(conflicts(&a, &a, &b).is_empty());
        prop_assert!(conflicts(&a, &b, &a).is_empty());
    }

    /// Guards against canonical text that a daemon fails to parse or to validate.
    #[test]
    fn canonical_text_is_read_back(a in tables()) {
        let sorted = a.sorted();
        let read = Tables::from_canonical(&sorted.canonical()).expect("canonical text");
        prop_assert!(validate(&read).is_empty());
        prop_assert_eq!(read, sorted);
    }

    /// Guards against parts that exceed the limit or are joined in the wrong order.
    #[test]
    fn parts_are_joined(text in any::<String>(), limit in 1_usize..64) {
        let parts = split_parts(&text, limit);
        prop_assert!(parts.iter().all(|(hash, p)| p.len() <= limit && *hash == Hash::of(p)));
        let bytes: Vec<Vec<u8>> = parts.into_iter().map(|(_, part)| part).collect();
        prop_assert_eq!(join_parts(&bytes, Hash::of(text.as_bytes())), Some(text));
    }
}

/// Guards against a hostile or damaged head record that makes a daemon hold unbounded text.
#[test]
fn parts_over_the_limit_are_refused() {
    let parts = vec![vec![b' '; MAX_CANONICAL_BYTES], vec![b' ']];
    assert_eq!(join_parts(&parts, Hash::of(&parts.concat())), None);
}
