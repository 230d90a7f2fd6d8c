package yuccaflow.router

/** Entry point of `yuccaflowd`. */
fun main(args: Array<String>) {
    println("yuccaflowd ${args.joinToString(" ")}")
}
