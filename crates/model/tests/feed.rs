//! Updates about platform objects.

use bytes::Bytes;
use rattanmast_model::feed::{Batch, Change, Object, Revision, Update};

/// Guards against losing a leaf whose entry is deleted and created again within one update.
#[test]
fn the_last_change_of_an_object_counts() {
    let content = |text: &'static str| Some(Bytes::from_static(text.as_bytes()));
    let changes = [
        ("back", None),
        ("changed", content("old")),
        ("back", content("new")),
        ("changed", content("newer")),
        ("gone", content("old")),
        ("gone", None),
    ];
    let changes = changes.map(|(name, content)| match content {
        Some(content) => Change::Put(Object {
            name: name.into(),
            content,
        }),
        None => Change::Delete(name.into()),
    });
    let object = |name: &str, content: &'static str| Object {
        name: name.into(),
        content: content.into(),
    };
    let expected = Update::Changes {
        kind: "leafs".into(),
        put: vec![object("back", "new"), object("changed", "newer")],
        deleted: vec!["gone".into()],
        revision: Revision {
            epoch: 0,
            number: 7,
        },
    };
    let batch = Batch {
        items: changes.to_vec(),
        revision: Revision {
            epoch: 0,
            number: 7,
        },
    };
    assert_eq!(Update::changes("leafs".into(), batch), expected);
}
