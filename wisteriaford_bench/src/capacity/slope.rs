//! Least-squares fit of a plane.

use serde::Serialize;

/// Plane `constant + first * x + second * y`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Plane {
    pub(crate) constant: f64,
    pub(crate) first: f64,
    pub(crate) second: f64,
}

/// Fits a plane to points `(x, y, value)`; `None` if the points `(x, y)` lie on a line.
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

/// Solves three linear equations by Gauss-Jordan elimination with partial pivoting.
fn solve(mut rows: [[f64; 4]; 3]) -> Option<[f64; 3]> {
    for column in 0..3 {
        let by_magnitude =
            |a: &usize, b: &usize| rows[*a][column].abs().total_cmp(&rows[*b][column].abs());
        let pivot = (column..3).max_by(by_magnitude)?;
        rows.swap(column, pivot);
        let leading = rows[column];
        if leading[column].abs() < 1e-9 {
            return None;
        }
        for (index, row) in rows.iter_mut().enumerate() {
            if index == column {
                continue;
            }
            let factor = row[column] / leading[column];
            for (cell, lead) in row.iter_mut().zip(leading) {
                *cell -= factor * lead;
            }
        }
    }
    let value = |index: usize| rows[index][3] / rows[index][index];
    Some([value(0), value(1), value(2)])
}
