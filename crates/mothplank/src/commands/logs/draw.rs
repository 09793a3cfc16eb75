//! Draws a chart of the results of requests by second.

use std::fs;
use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use plotters::prelude::*;

use super::summary::{Counts, Summary};

/// The size of the chart, in pixels.
const SVG_SIZE_PX: (u32, u32) = (1_000, 400);

/// A series of the chart: the name, the color and the count in a second.
type Series = (&'static str, RGBColor, fn(&Counts) -> u64);

/// The series, stacked from the bottom to the top.
const SERIES: [Series; 4] = [
    ("in aim", RGBColor(60, 140, 70), |it| it.on_target),
    ("late", RGBColor(230, 170, 50), |it| it.late),
    ("refused", RGBColor(90, 120, 200), |it| it.refused),
    ("failed", RGBColor(200, 60, 60), |it| it.failed),
];

/// Draws the chart into an SVG file.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub(crate) fn draw(summary: &Summary, path: &Path) -> Result<()> {
    let mut text = String::new();
    draw_seconds(&summary.seconds, &mut text).map_err(|e| eyre!("cannot draw the chart: {e}"))?;
    fs::write(path, text).wrap_err_with(|| format!("cannot write {}", path.display()))
}

fn draw_seconds(seconds: &[Counts], text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let all = |it: &Counts| SERIES.iter().map(|series| series.2(it)).sum::<u64>();
    let highest = seconds.iter().map(all).max().unwrap_or(0).max(1);
    let area = SVGBackend::with_string(text, SVG_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Requests by outcome", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(50)
        .build_cartesian_2d(0..seconds.len().max(1), 0..highest)?;
    chart.configure_mesh().x_desc("s").y_desc("requests a second").draw()?;
    let mut below = vec![0; seconds.len()];
    for (name, color, count) in SERIES {
        let bars = seconds.iter().enumerate().map(|(second, it)| {
            let low = below[second];
            Rectangle::new([(second, low), (second + 1, low + count(it))], color.filled())
        });
        chart
            .draw_series(bars)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
        below.iter_mut().zip(seconds).for_each(|(low, it)| *low += count(it));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
