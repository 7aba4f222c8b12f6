//! Renders the configuration of an installation as an intent file.

use std::fmt::Write as _;

use rattanmast_model::config::{Config, Priority};

/// Returns the text of the intent file that results in `config`.
pub fn render(config: &Config) -> String {
    let mut text = String::new();
    // Writing to a `String` never fails.
    let _ = write_intent(&mut text, config);
    text
}

fn write_intent(text: &mut String, config: &Config) -> std::fmt::Result {
    let floors = &config.floors;
    writeln!(text, "[floors]")?;
    writeln!(text, "urgent = {:?}", floors.urgent)?;
    writeln!(text, "routine = {:?}", floors.routine)?;
    writeln!(text, "intake = {:?}", floors.intake)?;
    for host in &config.hosts {
        writeln!(text, "\n[[host]]\nname = {:?}", host.name.as_str())?;
        writeln!(text, "domain = {:?}", host.domain.as_str())?;
        writeln!(text, "http = \"{}\"\nhop = \"{}\"", host.http, host.hop)?;
        writeln!(text, "exchange = \"{}\"", host.exchange)?;
    }
    for collection in &config.collections {
        let limits = &collection.limits;
        writeln!(
            text,
            "\n[[collection]]\nname = {:?}",
            collection.name.as_str()
        )?;
        writeln!(
            text,
            "services = {}\nleafs = {}",
            collection.services, collection.leafs
        )?;
        writeln!(
            text,
            "slots = {}\nconnections = {}",
            limits.slots, limits.connections
        )?;
        writeln!(text, "open_ms = {}", limits.open_ms)?;
    }
    for search in &config.searches {
        let priority = match search.priority {
            Priority::Time => "time",
            Priority::Coverage => "coverage",
        };
        writeln!(text, "\n[[search]]\nname = {:?}", search.name.as_str())?;
        writeln!(text, "collection = {:?}", search.collection.as_str())?;
        writeln!(text, "priority = {priority:?}")?;
        writeln!(text, "least_coverage = {:?}", search.least_coverage)?;
        writeln!(text, "longest_wait_ms = {}", search.longest_wait_ms)?;
    }
    for caller in &config.callers {
        writeln!(text, "\n[[caller]]\nname = {:?}", caller.name.as_str())?;
        writeln!(text, "key_sha256 = {:?}", caller.key_sha256.as_str())?;
        writeln!(text, "rank = {:?}", caller.rank.name())?;
        writeln!(text, "searches = {:?}", caller.searches)?;
        writeln!(text, "orders = {:?}", caller.orders)?;
    }
    Ok(())
}
