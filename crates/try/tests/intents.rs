//! Tests of the intent files that ship with the project.

#![expect(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{fs, path::Path};

use rattanmast_fakes::data::Data;
use rattanmast_model::{config::Config, preset::Preset};
use rattanmast_state::{effect::Level, intent, plan};
use rattanmast_try::intent::render;

/// Guards against shipped intent files that differ from the presets or that a plan refuses.
#[test]
fn shipped_intents_are_the_presets() {
    for preset in [Preset::norway(), Preset::switzerland()] {
        let name = format!("intents/{}.toml", preset.name);
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../..")
            .join(&name);
        let text = fs::read_to_string(path).unwrap();
        assert_eq!(text, render(&Data::new(preset).config()), "{name}");
        let intent = intent::parse(&name, &text).unwrap();
        let plan = plan::make(&Config::default(), &intent);
        let refusals = plan.effects.iter().filter(|e| e.level == Level::Refusal);
        assert_eq!(refusals.count(), 0, "{name}");
    }
}
