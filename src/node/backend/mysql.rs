//! Boxes that speak MySQL.
