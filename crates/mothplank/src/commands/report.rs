//! `mothplank report`: shows usage and cost by customer, stage and pool.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use plotters::prelude::*;

use crate::config::ReportArgs;
use crate::exit_codes::ExitCode;
use crate::messages::{UsageReport, UsageRow};
use crate::operator::OperatorClient;
use crate::output::{Format, note};
use crate::table::Table;

/// The column headings of the table and of the CSV file.
const HEADING: [&str; 8] =
    ["customer", "stage", "pool", "calls", "busy_us", "tokens", "wasted_us", "cost"];
/// The size of the chart, in pixels.
const SVG_SIZE_PX: (u32, u32) = (800, 400);

/// Runs the command.
///
/// # Errors
/// Returns an error if no member answers or a file cannot be written.
pub(crate) async fn run(format: Format, args: ReportArgs) -> Result<ExitCode> {
    let path = format!("/v1/report?from={}&to={}", args.from, args.to);
    let report: UsageReport = OperatorClient::new(args.target).get(&path).await?;
    if !report.unheard.is_empty() {
        note(&format!(
            "the report is incomplete: no rows from the members {}",
            report.unheard.join(", ")
        ));
    }
    if report.rows.iter().any(|it| it.cost.is_none()) {
        note("some costs are unknown: the member does not know their pools");
    }
    if let Some(path) = &args.csv {
        fs::write(path, csv(&report))
            .wrap_err_with(|| format!("cannot write {}", path.display()))?;
    }
    if let Some(path) = &args.svg {
        draw(&report, path)?;
    }
    format.print(&report, || table(&report))?;
    Ok(ExitCode::Success)
}

fn cells(row: &UsageRow) -> Vec<String> {
    vec![
        row.customer.clone(),
        row.stage.clone(),
        row.pool.clone(),
        row.calls.to_string(),
        row.busy_us.to_string(),
        row.tokens.to_string(),
        row.wasted_us.to_string(),
        row.cost.map_or_else(|| "unknown".to_owned(), |it| format!("{it:.6}")),
    ]
}

fn table(report: &UsageReport) -> String {
    let mut table = Table::with_heading(&HEADING);
    report.rows.iter().for_each(|it| table.add(cells(it)));
    let total: f64 = report.rows.iter().filter_map(|it| it.cost).sum();
    let unknown = report.rows.iter().filter(|it| it.cost.is_none()).count();
    let rest = if unknown > 0 { format!(", without {unknown} unknown") } else { String::new() };
    format!("{}\ntotal cost {total:.6}{rest}", table.format())
}

/// Formats the report as CSV. Names contain neither commas nor quotes, so no cell needs quoting.
fn csv(report: &UsageReport) -> String {
    let rows = report.rows.iter().map(|it| cells(it).join(","));
    let lines: Vec<String> = std::iter::once(HEADING.join(",")).chain(rows).collect();
    lines.join("\r\n") + "\r\n"
}

fn draw(report: &UsageReport, path: &Path) -> Result<()> {
    let mut costs: BTreeMap<&str, f64> = BTreeMap::new();
    for row in &report.rows {
        // The note tells of unknown costs.
        *costs.entry(&row.stage).or_default() += row.cost.unwrap_or_default();
    }
    let bars: Vec<(&str, f64)> = costs.into_iter().collect();
    let mut text = String::new();
    draw_bars(&bars, &mut text).map_err(|e| eyre!("cannot draw the chart: {e}"))?;
    fs::write(path, text).wrap_err_with(|| format!("cannot write {}", path.display()))
}

fn draw_bars(bars: &[(&str, f64)], text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let highest = bars.iter().map(|it| it.1).fold(f64::MIN_POSITIVE, f64::max);
    let count = bars.len().max(1) as f64;
    let area = SVGBackend::with_string(text, SVG_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Cost by stage", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..count, 0.0..highest * 1.1)?;
    let name = |at: &f64| {
        let inside = at.fract() == 0.5;
        let bar = inside.then(|| bars.get(at.floor() as usize)).flatten();
        bar.map_or_else(String::new, |it| it.0.to_owned())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len() * 2 + 1)
        .x_label_formatter(&name)
        .y_desc("cost")
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(i, bar)| {
        let left = i as f64;
        Rectangle::new([(left + 0.15, 0.0), (left + 0.85, bar.1)], BLUE.filled())
    }))?;
    area.present()?;
    Ok(())
}
