//! SVG plot of latency and goodput by load.

use std::path::Path;

use plotters::prelude::*;
use rattanmast_model::rank::Rank;

use crate::table::Report;

/// A result of this module.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

const SIZE_PX: (u32, u32) = (900, 900);

/// A plotted series: name, colour, and points by load.
type Line = (String, RGBColor, Vec<(f64, f64)>);

/// Plots urgent p99 and the goodput of all ranks by load to the SVG file `path`.
///
/// # Errors
///
/// If the file cannot be written.
pub fn write(report: &Report, path: &Path) -> Result<()> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE_PX.1 / 2);
    let urgent = Rank::Urgent.index();
    let latency = lines(report, |rows| rows[urgent].p99_ms);
    draw(&upper, "urgent p99 by load", "ms", &latency)?;
    let goodput = lines(report, |rows| rows.iter().map(|r| r.goodput).sum());
    draw(
        &lower,
        "complete answers in time by load",
        "a second",
        &goodput,
    )?;
    area.present()?;
    Ok(())
}

fn lines(report: &Report, figure: impl Fn(&[crate::tally::Row; 3]) -> f64) -> Vec<Line> {
    let mut names: Vec<&str> = report.variants.iter().map(|v| v.policies).collect();
    names.sort_unstable();
    names.dedup();
    let colours = [BLUE, RED, GREEN, BLACK];
    let line = |(name, colour): (&str, RGBColor)| {
        let matching = report.variants.iter().filter(|v| v.policies == name);
        let mut points: Vec<_> = matching.map(|v| (v.load, figure(&v.rows))).collect();
        points.retain(|p| p.1.is_finite());
        points.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        (name.to_owned(), colour, points)
    };
    names
        .into_iter()
        .zip(colours.into_iter().cycle())
        .map(line)
        .collect()
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    title: &str,
    unit: &str,
    lines: &[Line],
) -> Result<()> {
    let points = || lines.iter().flat_map(|l| l.2.iter());
    let right = points().map(|p| p.0).fold(0.1, f64::max);
    let top = points().map(|p| p.1).fold(0.1, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("offered load as a share of capacity")
        .y_desc(unit)
        .draw()?;
    for (name, colour, points) in lines {
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                colour.stroke_width(2),
            ))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 3, colour.filled())))?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
