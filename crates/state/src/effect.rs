//! The effects of a configuration change on capacity and callers' rights.

use std::fmt;

use rattanmast_model::{
    config::{Collection, Config},
    hash::Set,
    roster,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Tolerance for rounding errors when adding floors, which are decimal fractions.
const FLOOR_SUM_TOLERANCE: f64 = 1e-9;

/// The severity of an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Informational.
    Note,
    /// Reduces capacity or the rights of a caller.
    Warning,
    /// Prevents the plan from being confirmed.
    Refusal,
}

/// One effect of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// The severity, which decides whether the plan can be confirmed.
    pub level: Level,
    /// The description, with the remedy if the effect is a refusal.
    pub text: String,
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let level = match self.level {
            Level::Note => "note",
            Level::Warning => "warning",
            Level::Refusal => "refused",
        };
        write!(f, "{level}: {}", self.text)
    }
}

/// Returns the effects of replacing `old` by `new`, most severe first.
pub fn assess(old: &Config, new: &Config) -> Vec<Effect> {
    let mut effects = Vec::new();
    roster_effects(old, new, &mut effects);
    floor_effects(new, &mut effects);
    search_effects(old, new, &mut effects);
    caller_effects(old, new, &mut effects);
    effects.sort_by_key(|e| std::cmp::Reverse(e.level));
    effects
}

fn push(effects: &mut Vec<Effect>, level: Level, text: String) {
    effects.push(Effect { level, text });
}

fn roster_effects(old: &Config, new: &Config, effects: &mut Vec<Effect>) {
    if new.hosts.is_empty() {
        let text = "no host is left; declare at least one";
        push(effects, Level::Refusal, text.to_owned());
    }
    for c in &new.collections {
        if roster::connections_per_candidate(new.hosts.len(), c.limits.connections) == 0 {
            let text = format!(
                "leafs of collection {} accept {} connections, too few for {} hosts to have one \
                 each; raise `connections`",
                c.name,
                c.limits.connections,
                new.hosts.len(),
            );
            push(effects, Level::Refusal, text);
        }
    }
    let before = roster::watchers(&old.hosts);
    let after: Set<&SmolStr> = new.hosts.iter().map(|h| &h.name).collect();
    let kept = before.iter().filter(|h| after.contains(&h.name)).count();
    if !before.is_empty() && kept * 2 <= before.len() {
        let text = format!(
            "only {kept} of {} watchers stay, so the change cannot be accepted by more than half \
             of them; replace fewer hosts at a time",
            before.len(),
        );
        push(effects, Level::Refusal, text);
    }
}

fn floor_effects(new: &Config, effects: &mut Vec<Effect>) {
    let sum = new.floors.urgent + new.floors.routine + new.floors.intake;
    if sum > 1.0 + FLOOR_SUM_TOLERANCE {
        let text = format!("floors add up to {sum:.3}, over 1; lower them");
        push(effects, Level::Refusal, text);
    }
}

/// Returns how many searches the leafs of a collection can process concurrently.
///
/// A search needs one slot on one leaf of each service. A dispatcher can use at most as many slots
/// of a leaf as it may hold connections to it.
fn concurrent_searches(config: &Config, collection: &Collection) -> u32 {
    let share =
        roster::connections_per_candidate(config.hosts.len(), collection.limits.connections);
    u32::from(collection.leafs) * collection.limits.slots.min(share)
}

fn search_effects(old: &Config, new: &Config, effects: &mut Vec<Effect>) {
    for search in &new.searches {
        let Some(collection) = new.collection(&search.collection) else {
            continue;
        };
        let after = concurrent_searches(new, collection);
        let fan_out = collection.services;
        let before = old
            .search(&search.name)
            .and_then(|s| old.collection(&s.collection))
            .map(|c| concurrent_searches(old, c));
        let requests = u32::from(fan_out) * after;
        if after < 2 {
            let text = format!(
                "search {} goes to {fan_out} services, whose leafs take {after} at a time, which \
                 leaves no slot for a hedge; add leafs, slots or connections",
                search.name,
            );
            let level = if after == 0 {
                Level::Refusal
            } else {
                Level::Warning
            };
            push(effects, level, text);
        }
        if let Some(before) = before.filter(|b| *b > after) {
            let text = format!(
                "search {} ran {before} at a time, and runs {after} ({requests} leaf requests)",
                search.name,
            );
            push(effects, Level::Warning, text);
        } else if before != Some(after) {
            let text = format!(
                "search {} goes to {fan_out} services and runs {after} at a time ({requests} \
                 leaf requests)",
                search.name,
            );
            push(effects, Level::Note, text);
        }
        if search.longest_wait_ms <= collection.limits.open_ms {
            let text = format!(
                "search {} waits {} ms at most, but opening a connection takes {} ms; raise \
                 `longest_wait_ms`",
                search.name, search.longest_wait_ms, collection.limits.open_ms,
            );
            push(effects, Level::Refusal, text);
        }
    }
}

fn caller_effects(old: &Config, new: &Config, effects: &mut Vec<Effect>) {
    for before in &old.callers {
        let name = &before.name;
        let Some(after) = new.callers.iter().find(|c| c.name == *name) else {
            push(
                effects,
                Level::Warning,
                format!("caller {name} loses all rights"),
            );
            continue;
        };
        if after.rank > before.rank {
            let (old, new) = (before.rank.name(), after.rank.name());
            let text = format!("caller {name} loses rank {old} and has {new}");
            push(effects, Level::Warning, text);
        }
        if after.key_sha256 != before.key_sha256 {
            let text = format!("caller {name} is refused with its old key");
            push(effects, Level::Warning, text);
        }
        for search in before
            .searches
            .iter()
            .filter(|s| !after.searches.contains(s))
        {
            let text = format!("caller {name} loses search {search}");
            push(effects, Level::Warning, text);
        }
        for orders in before.orders.iter().filter(|o| !after.orders.contains(o)) {
            let text = format!("caller {name} loses orders to {orders}");
            push(effects, Level::Warning, text);
        }
    }
}
