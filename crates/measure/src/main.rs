//! Command-line tool that compares the policies with their baselines.

mod cli;

use std::time::Duration;

use rattanmast_measure::{cases, config::Config, cost, exit::Exit, harness, plot, table::Report};
use rattanmast_model::config::Priority;

fn main() -> Exit {
    let options = match cli::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            return match failure.exit_code() {
                0 => Exit::Met,
                _ => Exit::Usage,
            };
        }
    };
    if options.list {
        list();
        return Exit::Met;
    }
    match options.config() {
        Ok(config) if config.case == cost::NAME => measure_cost(&config),
        Ok(config) => measure(&config),
        Err(error) => {
            eprintln!("error: {error}");
            Exit::Usage
        }
    }
}

fn list() {
    for case in cases::all() {
        println!("{:14} {}", case.name, case.about);
    }
    println!("{:14} {}", cost::NAME, cost::ABOUT);
}

fn measure(config: &Config) -> Exit {
    let Some(mut case) = cases::all().into_iter().find(|c| c.name == config.case) else {
        eprintln!("error: there is no case {}; see --list", config.case);
        return Exit::Usage;
    };
    for variant in &mut case.variants {
        variant.scenario.regions = config.regions;
        if config.whole {
            variant.scenario.priority = Priority::Coverage;
        }
        if let Some(length) = config.length {
            variant.scenario.length = Duration::from_secs(length);
        }
    }
    if config.swap {
        case = case.with_policy(rattanmast_measure::policy::Kind::Baseline);
    }
    let runs = harness::run(&case, &config.seeds, config.threads);
    let report = Report::new(&case, &config.seeds, &runs);
    if config.json {
        match serde_json::to_string_pretty(&report) {
            Ok(json) => println!("{json}"),
            Err(error) => {
                eprintln!("error: {error}; this is a bug in rattanmast-measure, please report it");
                return Exit::Failed;
            }
        }
    } else {
        print!("{}", report.text());
    }
    if let Some(path) = &config.plot
        && let Err(error) = plot::write(&report, path)
    {
        eprintln!("error: cannot write {}: {error}", path.display());
        return Exit::Failed;
    }
    if report.met() {
        Exit::Met
    } else {
        Exit::Missed
    }
}

fn measure_cost(config: &Config) -> Exit {
    match cost::measure() {
        Ok(costs) if config.json => match serde_json::to_string_pretty(&costs) {
            Ok(json) => {
                println!("{json}");
                Exit::Met
            }
            Err(error) => {
                eprintln!("error: {error}; this is a bug in rattanmast-measure, please report it");
                Exit::Failed
            }
        },
        Ok(costs) => {
            print!("{}", cost::text(&costs));
            Exit::Met
        }
        Err(error) => {
            eprintln!("error: {error}");
            Exit::Failed
        }
    }
}
