//! Goodput over time as an SVG file.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use crate::measure::SeriesPoint;

/// One curve.
#[derive(Clone, Debug)]
pub struct Curve {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<SeriesPoint>,
}

const SIZE: (u32, u32) = (960, 420);

const COLOURS: [RGBColor; 4] = [
    RGBColor(200, 60, 50),
    RGBColor(220, 150, 40),
    RGBColor(70, 120, 190),
    RGBColor(30, 140, 80),
];

/// Draws the goodput of some arms, and what was offered to the first.
///
/// # Errors
///
/// If the file can't be written.
pub fn write_plot(path: &Path, title: &str, curves: &[Curve]) -> eyre::Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    draw(&area, title, curves).map_err(|error| eyre!("the plot can't be drawn: {error}"))?;
    area.present()
        .map_err(|error| eyre!("{} can't be written: {error}", path.display()))
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(area: &Area<'_>, title: &str, curves: &[Curve]) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let end_s = points().map(|point| point.t_s).fold(1.0, f64::max);
    let top = points()
        .map(|point| point.offered_per_s)
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end_s, 0.0..top * 1.05)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("seconds")
        .y_desc("whole requests a second")
        .draw()?;
    if let Some(first) = curves.first() {
        let offered = first
            .points
            .iter()
            .map(|point| (point.t_s, point.offered_per_s));
        let series = LineSeries::new(offered, RGBColor(160, 160, 160));
        let series = chart.draw_series(series)?.label("offered");
        series.legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], RGBColor(160, 160, 160)));
    }
    for (curve, colour) in curves.iter().zip(COLOURS) {
        let good = curve
            .points
            .iter()
            .map(|point| (point.t_s, point.good_per_s));
        let series = LineSeries::new(good, colour.stroke_width(2));
        let series = chart.draw_series(series)?.label(&curve.name);
        series.legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let mut labels = chart.configure_series_labels();
    labels
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
