package yuccaflow.bench

/** Keeps the module compilable until its first type is added. */
internal object Placeholder
