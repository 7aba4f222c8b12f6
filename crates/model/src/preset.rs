//! Built-in sizes of the two installations.

use smol_str::SmolStr;

use crate::{config::Collection, leaf::Limits};

/// The sizes of an installation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preset {
    /// The name of the preset in settings.
    pub name: &'static str,
    /// The names of the failure domains.
    pub domains: [&'static str; 3],
    /// The number of entry hosts.
    pub hosts: usize,
    /// The collections of the installation.
    pub collections: Vec<Collection>,
    /// The name of the default collection for searches.
    pub search_collection: &'static str,
    /// The name of the default collection for orders.
    pub order_collection: &'static str,
}

/// The limits of leafs that accept few connections and are slow to accept them.
const SMALL_LEAF: Limits = Limits {
    slots: 2,
    connections: 25,
    open_ms: 6,
};

fn collection(name: &str, services: u16, leafs: u16, limits: Limits) -> Collection {
    Collection {
        name: SmolStr::new(name),
        services,
        leafs,
        limits,
    }
}

impl Preset {
    /// Returns the sizes of the installation in Norway.
    pub fn norway() -> Self {
        let large_leaf = Limits {
            slots: 6,
            connections: 110,
            open_ms: 1,
        };
        Self {
            name: "norway",
            domains: ["ostland", "vestland", "nordland"],
            hosts: 9,
            collections: vec![
                collection("blade-profile-registry", 20, 2, SMALL_LEAF),
                collection("rink-order-intake", 30, 2, SMALL_LEAF),
                collection("club-billing", 1, 4, large_leaf),
                collection("grinder-job-log", 1, 3, large_leaf),
            ],
            search_collection: "blade-profile-registry",
            order_collection: "club-billing",
        }
    }

    /// Returns the sizes of the installation in Switzerland.
    pub fn switzerland() -> Self {
        let large_leaf = Limits {
            slots: 4,
            connections: 45,
            open_ms: 1,
        };
        Self {
            name: "switzerland",
            domains: ["bern", "geneva", "zurich"],
            hosts: 9,
            collections: vec![
                collection("workshop-records-portal", 20, 2, SMALL_LEAF),
                collection("club-intake-desk", 30, 2, SMALL_LEAF),
                collection("donor-and-billing-office", 1, 4, large_leaf),
                collection("stock-records", 1, 3, large_leaf),
            ],
            search_collection: "workshop-records-portal",
            order_collection: "donor-and-billing-office",
        }
    }

    /// Returns the sizes of the installation named `name`.
    pub fn named(name: &str) -> Option<Self> {
        [Self::norway(), Self::switzerland()]
            .into_iter()
            .find(|p| p.name == name)
    }
}
