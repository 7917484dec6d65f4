//! Slopes by least squares.

use serde::Serialize;

/// Constant and slopes of a plane through points.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Plane {
    pub(crate) constant: f64,
    pub(crate) first: f64,
    pub(crate) second: f64,
}

/// Fits a plane to points `(x, y, value)`; none if they lie on a line.
pub(crate) fn fit(points: &[(f64, f64, f64)]) -> Option<Plane> {
    let mut matrix = [[0.0; 4]; 3];
    for &(x, y, value) in points {
        let terms = [1.0, x, y];
        for (row, left) in matrix.iter_mut().zip(terms) {
            for (cell, right) in row.iter_mut().zip([1.0, x, y, value]) {
                *cell += left * right;
            }
        }
    }
    let [constant, first, second] = solve(matrix)?;
    Some(Plane {
        constant,
        first,
        second,
    })
}

/// Solves three equations by elimination with pivots.
fn solve(mut rows: [[f64; 4]; 3]) -> Option<[f64; 3]> {
    for step in 0..3 {
        let by_size = |a: &usize, b: &usize| rows[*a][step].abs().total_cmp(&rows[*b][step].abs());
        let pivot = (step..3).max_by(by_size)?;
        rows.swap(step, pivot);
        let leading = rows[step];
        if leading[step].abs() < 1e-9 {
            return None;
        }
        for (place, row) in rows.iter_mut().enumerate() {
            if place == step {
                continue;
            }
            let factor = row[step] / leading[step];
            for (cell, lead) in row.iter_mut().zip(leading) {
                *cell -= factor * lead;
            }
        }
    }
    let value = |place: usize| rows[place][3] / rows[place][place];
    Some([value(0), value(1), value(2)])
}
