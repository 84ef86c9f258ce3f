//! The fleet's policy: a numbered document, and its change in steps that hold everywhere or nowhere. No I/O.
