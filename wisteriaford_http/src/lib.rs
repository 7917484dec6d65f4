//! Connections, request bodies and limits of callers, shared by the HTTP servers of wisteriaford.

mod body;
mod body_buffer;
pub mod budget;
mod caller_stream;
mod connection;
mod guard;
mod serve;

pub use crate::body::BodyError;
pub use crate::body::drain;
pub use crate::body::read_body;
pub use crate::caller_stream::ConnectionTimeouts;
pub use crate::connection::Permit;
pub use crate::connection::accept;
pub use crate::connection::wait_for_first_byte;
pub use crate::guard::Charge;
pub use crate::guard::Guard;
pub use crate::guard::GuardCounts;
pub use crate::guard::Slot;
pub use crate::serve::ConnectionLimits;
pub use crate::serve::admit;
pub use crate::serve::limit_buffers;
pub use crate::serve::serve;
