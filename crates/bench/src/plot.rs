//! Plots of curves as SVG files.

use mallowpath_e2e::BoxError;
use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Color, IntoDrawingArea, LineSeries, PathElement, RED, SVGBackend,
    WHITE,
};
use std::path::Path;

const SIZE: (u32, u32) = (800, 400);
const MARGIN: u32 = 10;
const LABEL_AREA_SIZE: u32 = 50;

/// A named curve.
#[derive(Debug)]
pub struct Curve {
    /// The label in the legend.
    pub name: &'static str,
    /// The points as time in seconds and value.
    pub points: Vec<(f64, f64)>,
}

/// Draws up to three curves over time in seconds.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn draw(file: &Path, title: &str, curves: &[Curve]) -> Result<(), BoxError> {
    let (mut x_max, mut y_max) = (1.0_f64, 1.0_f64);
    for curve in curves {
        for (x, y) in &curve.points {
            x_max = x_max.max(*x);
            y_max = y_max.max(*y);
        }
    }
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA_SIZE)
        .y_label_area_size(LABEL_AREA_SIZE)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (curve, color) in curves.iter().zip([RED, BLUE, BLACK]) {
        chart
            .draw_series(LineSeries::new(curve.points.iter().copied(), color))?
            .label(curve.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK.mix(0.2))
        .draw()?;
    area.present()?;
    Ok(())
}
