package yuccaflow.http

/** Keeps the module compilable until its first type is added. */
internal object Placeholder
