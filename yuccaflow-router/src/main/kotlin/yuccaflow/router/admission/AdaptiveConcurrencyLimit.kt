package yuccaflow.router.admission

/**
 * Answers in time after which a target is given one more slot. Cold targets are seen to warm up within some 20 answers a slot, so that
 * a faster ramp gives them more than they can handle.
 */
internal const val GAIN_AFTER_ANSWERS: Int = 32

/** Bound of the answers needed for a gain, which double with each shed answer. */
private const val MAX_GAIN_AFTER_ANSWERS = 512

/** The slots that a target has been seen to bear, from 1 to [slots]. Not thread-safe. */
internal class AdaptiveConcurrencyLimit(
    private val slots: Int,
) {
    private var answers = 0
    private var neededAnswers = GAIN_AFTER_ANSWERS

    /** Requests that may run at once. */
    var limit: Int = 1
        private set

    /** Notes an answer that came in time. */
    fun answeredInTime() {
        if (limit >= slots || ++answers < neededAnswers) return
        answers = 0
        limit++
        if (limit == slots) neededAnswers = GAIN_AFTER_ANSWERS
    }

    /** The target shed a request: it bears less than was assumed, and the next gain is tried later than the last one. */
    fun shed() {
        limit = (limit / 2).coerceAtLeast(1)
        answers = 0
        neededAnswers = (neededAnswers * 2).coerceAtMost(MAX_GAIN_AFTER_ANSWERS)
    }

    /** The target is cold. */
    fun restart() {
        limit = 1
        answers = 0
        neededAnswers = GAIN_AFTER_ANSWERS
    }
}
