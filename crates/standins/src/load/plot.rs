//! Plots the attainment of each class by second of arrival.

use std::path::Path;

use plotters::prelude::*;
use types::{StepError, StepResult};

use super::report::Report;

/// The width and height of a plot, in pixels.
const SIZE_PIXELS: (u32, u32) = (900, 420);

/// Plots a report into an SVG file.
pub(super) fn draw(report: &Report, path: &Path) -> StepResult<()> {
    let root = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    draw_chart(report, &root)
        .map_err(|e| StepError::new("draw plot", e.to_string()).at(path.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw_chart<'a>(report: &Report, root: &Area<'a>) -> Result<(), DrawError<'a>> {
    root.fill(&WHITE)?;
    let length = report.length.as_secs_f64();
    let mut chart = ChartBuilder::on(root)
        .caption(&report.name, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..length, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("second of arrival")
        .y_desc("in time, % of arrivals")
        .light_line_style(WHITE)
        .draw()?;
    for (number, class) in report.classes.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let seconds = report.seconds(number);
        let arrived = seconds.iter().enumerate().filter(|(_, it)| it.0 > 0);
        let share = |it: &(u64, u64)| 100.0 * it.1 as f64 / it.0 as f64;
        let points = arrived.map(|(second, it)| (second as f64 + 0.5, share(it)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(format!("{} (priority {})", class.name, class.priority))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()
}
