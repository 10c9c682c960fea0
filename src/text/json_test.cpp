#include "cassiashed/text/json.h"

#include <doctest/doctest.h>

using namespace cassiashed;

// Guards against a malformed body being taken for an empty request.
TEST_CASE("malformed JSON is refused with the place of the error") {
  std::string Reason;
  CHECK_FALSE(parseJsonObject("{\"a\":", Reason));
  CHECK(Reason.find("byte") != std::string::npos);
  CHECK_FALSE(parseJsonObject("[1]", Reason));
}

// Guards against an exception for a field of an unexpected type.
TEST_CASE("field readers fall back to the default on another type") {
  std::string Reason;
  const auto Value = parseJsonObject("{\"n\":\"text\",\"b\":true}", Reason);
  REQUIRE(Value);
  CHECK(readInteger(*Value, "n", 7) == 7);
  CHECK(readBool(*Value, "b"));
  CHECK(readString(*Value, "missing", "d") == "d");
}

// Guards against a process that ends, or uses another number, where a number
// does not fit into its type.
TEST_CASE("numbers out of range are refused or replaced by the default") {
  std::string Reason;
  CHECK_FALSE(parseJsonObject("{\"n\":1e999}", Reason));
  const auto Value = parseJsonObject("{\"unsigned\":18446744073709551615,"
                                     "\"long\":4294967297,\"int\":-5}",
                                     Reason);
  REQUIRE(Value);
  CHECK(readInteger(*Value, "unsigned", 7) == 7);
  CHECK(readInteger(*Value, "long", 7) == 4294967297);
  CHECK(readInt(*Value, "long", 7) == 7);
  CHECK(readInt(*Value, "int", 7) == -5);
}

// Guards against an overflow of the stack.
TEST_CASE("deeply nested JSON is read or refused") {
  std::string Reason;
  const std::string Open(1 << 20, '[');
  const std::string Close(1 << 20, ']');
  CHECK_FALSE(parseJsonObject(Open, Reason));
  CHECK(parseJsonObject("{\"a\":" + Open + Close + "}", Reason));
}
