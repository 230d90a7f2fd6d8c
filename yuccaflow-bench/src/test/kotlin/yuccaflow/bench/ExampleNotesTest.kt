package yuccaflow.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

class ExampleNotesTest {
    /** Guards against example notes that differ from what the demo publishes. */
    @Test
    fun `the notes under examples are those of the deployments`() {
        listOf(Deployment.Harpes, Deployment.Planwerk).forEach { deployment ->
            expectThat(File(Program.root, "examples/${deployment.name}.ini").readText()).isEqualTo(exampleNote(deployment))
        }
    }
}
