package yuccaflow.bench

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.File

class ExampleNotesTest {
    /** The files under `examples` must stay in step with the release notes that the demo publishes. */
    @Test
    fun `the example notes are those of the deployments`() {
        listOf(Deployment.Harpes, Deployment.Planwerk).forEach { deployment ->
            expectThat(File(Program.root, "examples/${deployment.name}.ini").readText()).isEqualTo(exampleReleaseNote(deployment))
        }
    }
}
