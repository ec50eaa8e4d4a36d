//! Runs of calls on routes that crash backend servers, at gates that tell each other.

mod gates;
mod kept_crashes;
mod load;
#[allow(dead_code, reason = "other tests use the rest of the mesh")]
#[path = "../support/mesh.rs"]
mod mesh;
mod new_lives;
mod one_service;
mod ran_before;
mod split_routes;
