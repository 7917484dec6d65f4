//! Connection handling and request body reading shared by the HTTP servers of wisteriaford.

mod body;
mod connection;

pub use crate::body::BodyError;
pub use crate::body::drain;
pub use crate::body::read_body;
pub use crate::connection::Permit;
pub use crate::connection::accept;
pub use crate::connection::wait_for_first_byte;
