#include "config/file_text.h"

#include <fstream>
#include <sstream>

namespace cassiashed {

std::optional<std::string> readFileText(const std::filesystem::path &Path) {
  std::ifstream Input(Path, std::ios::binary);
  std::ostringstream Text;
  if (!Input || !(Text << Input.rdbuf()))
    return std::nullopt;
  return Text.str();
}

} // namespace cassiashed
