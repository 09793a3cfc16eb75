//! `mothplank load`: runs a load test from a scenario file.

use eyre::{Result, WrapErr};
use serde_json::{Value, json};
use standins::load::{self, ClassReport, Report, Scenario};

use crate::config::LoadArgs;
use crate::exit_codes::ExitCode;
use crate::output::{Format, note};

/// Runs the command.
///
/// # Errors
/// Returns an error if the scenario cannot be read or a result cannot be written.
pub(crate) async fn run(format: Format, args: LoadArgs) -> Result<ExitCode> {
    let scenario = Scenario::read(&args.scenario)?;
    note(&format!("scenario {}: requests arrive for {} ms", scenario.name, scenario.length.0));
    let report = load::run(&scenario).await?;
    if let Some(folder) = &args.folder {
        std::fs::create_dir_all(folder)
            .wrap_err_with(|| format!("cannot create {}", folder.display()))?;
        report.write(folder)?;
    }
    format.print(&summary(&report), || report.to_string())?;
    Ok(ExitCode::Success)
}

fn summary(report: &Report) -> Value {
    let class = |it: &ClassReport| {
        json!({
            "class": it.name, "pipeline": it.pipeline, "requests": it.requests,
            "attained": it.attained, "attainment": it.attainment(), "attempts": it.attempts,
            "refusals": it.refusals, "broken": it.broken, "fates": it.results,
            "p50_ms": it.latency_ms(0.5), "p99_ms": it.latency_ms(0.99),
        })
    };
    let classes: Vec<Value> = report.classes.iter().map(class).collect();
    json!({"name": report.name, "classes": classes})
}
