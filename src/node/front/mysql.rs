//! The MySQL front.
